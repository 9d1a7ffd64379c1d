import type { Member } from '../../state/Member.ts';
import { rankMembers } from '../membership/rankMembers.ts';

/** Relays per failure domain; the second one covers the loss of the first. */
const RELAYS_PER_DOMAIN = 2;

/**
 * Checks whether a process is a relay, which watches the object service for its failure domain.
 *
 * @param incarnation - incarnation of the process
 * @param failureDomain - failure domain of the process
 * @param members - members that accept new requests, the process itself among them
 * @returns whether it ranks among the first two of its failure domain by rendezvous hash
 */
export const isRelay = (
  incarnation: string,
  failureDomain: string,
  members: readonly Member[],
): boolean => {
  const domainMembers = members.filter((member) => member.failureDomain === failureDomain);
  return rankMembers(`relay/${failureDomain}`, domainMembers)
    .slice(0, RELAYS_PER_DOMAIN)
    .some((member) => member.incarnation === incarnation);
};
