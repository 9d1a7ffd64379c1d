import { EndpointOwners, type ColdPart } from '../../../coordination/gateway/index.ts';
import type { PeerGroup } from '../PeerGroup.ts';

/**
 * Time for which lost gateways count: they may be on the other side of a network partition, with a scheduler of their
 * own. It is longer than for slots, as a cold endpoint that gets too much crashes.
 */
const LOST_RETENTION_MS = 60_000;
/** A scheduler of fewer gateways than this part of all is treated as one that decides alone. */
const MINIMUM_SCHEDULER_SHARE = 1 / 3;

/** Selects which part of the caps of endpoints this process may use. */
export class ColdPartSelector {
  readonly #owners = new EndpointOwners();

  /**
   * Selects the part.
   *
   * @param group - the gateways
   * @param isLeader - whether this process schedules for all
   * @param now - present time in ms, monotonic
   */
  select(group: PeerGroup, isLeader: boolean, now: number): ColdPart {
    const alive = group.liveMembers();
    const lost = group.recentlyLostMembers(now, LOST_RETENTION_MS);
    const unmet = group.unmetCount(now);
    const share = alive.length / Math.max(1, alive.length + lost.length + unmet);
    if (isLeader && share >= MINIMUM_SCHEDULER_SHARE) return { _tag: 'scheduled', share };
    // Who owns an endpoint can't be told before the members are known.
    if (unmet > 0) return { _tag: 'alone', isOwner: () => false };
    this.#owners.setMembers([...alive, ...lost]);
    const isOwner = (endpointId: string, owners: number): boolean =>
      this.#owners.isOwner(group.incarnation, endpointId, owners);
    return { _tag: 'alone', isOwner };
  }
}
