import type { PeerGroup } from '../PeerGroup.ts';

/**
 * Returns the share of slots, quotas and limits that the scheduler may use. The rest is reserved for members that
 * may be partitioned, also since before this process started, or follow another scheduler.
 *
 * @param group - the gateways
 * @param now - present time in ms, monotonic
 * @returns a fraction from 0 to 1
 */
export const schedulerShare = (group: PeerGroup, now: number): number => {
  const living = Math.max(1, group.liveMembers().length);
  const lost = group.recentlyLostMembers(now).length + group.unmetCount(now);
  return (group.leaderSupport(now) * group.reachedCount(now)) / (living + lost);
};

/**
 * Returns the share that a gateway may use which decides alone.
 *
 * @param group - the gateways
 * @param now - present time in ms, monotonic
 * @returns a fraction from 0 to 1
 */
export const ownShare = (group: PeerGroup, now: number): number =>
  1 / (group.sizeEstimate(now) + group.recentlyLostMembers(now).length + group.unmetCount(now));
