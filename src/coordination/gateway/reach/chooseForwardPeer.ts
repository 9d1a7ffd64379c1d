import type { Member } from '../../../state/Member.ts';

/** A member's cost relative to one of the same failure domain, for the traffic between domains. */
const OTHER_DOMAIN_FACTOR = 2;

/** The members among which a gateway chooses, and what it knows of them. */
export interface ForwardCandidates {
  readonly members: readonly Member[];
  /** Failure domain of this gateway. */
  readonly failureDomain: string;
  /** Incarnations that must not be chosen: this gateway, and those that were tried. */
  readonly exclude: ReadonlySet<string>;
  /** Returns the requests that a member now handles for this gateway. */
  readonly forwardedTo: (incarnation: string) => number;
  /** A random number in [0, 1), which breaks ties. */
  readonly fraction: number;
}

/**
 * Chooses the member that sends a request for a gateway which reaches no endpoint: one that does reach them, in
 * the same failure domain rather than in another, and rather one with few such requests.
 *
 * @param candidates - the members to choose from
 * @returns the member, or undefined if none is known to reach endpoints
 */
export const chooseForwardPeer = ({
  members,
  failureDomain,
  exclude,
  forwardedTo,
  fraction,
}: ForwardCandidates): Member | undefined => {
  const reaching = members.filter(
    ({ incarnation, isolated }) => isolated !== true && !exclude.has(incarnation),
  );
  const alive = reaching.filter(({ status }) => status === 'alive');
  const usable = alive.length > 0 ? alive : reaching;
  const costOf = ({ incarnation, failureDomain: domain }: Member): number =>
    (forwardedTo(incarnation) + 1) * (domain === failureDomain ? 1 : OTHER_DOMAIN_FACTOR);
  const start = Math.floor(fraction * usable.length);
  return [...usable.slice(start), ...usable.slice(0, start)].reduce<Member | undefined>(
    (best, member) => (best === undefined || costOf(member) < costOf(best) ? member : best),
    undefined,
  );
};
