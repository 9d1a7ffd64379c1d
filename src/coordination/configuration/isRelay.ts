import type { Member } from '../../state/Member.ts';
import { rankMembers } from '../membership/rankMembers.ts';

/** Processes per failure domain that watch the object service, so that one may be lost. */
const RELAYS_PER_DOMAIN = 2;

/**
 * Tells whether a process watches the object service for its failure domain.
 *
 * @param incarnation - the process
 * @param failureDomain - its failure domain
 * @param members - serving members, the process itself among them
 * @returns whether it is one of the first two by rendezvous hash
 */
export const isRelay = (
  incarnation: string,
  failureDomain: string,
  members: readonly Member[],
): boolean => {
  const neighbours = members.filter((member) => member.failureDomain === failureDomain);
  return rankMembers(`relay/${failureDomain}`, neighbours)
    .slice(0, RELAYS_PER_DOMAIN)
    .some((member) => member.incarnation === incarnation);
};
