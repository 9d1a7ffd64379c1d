import type { PeerGroup } from '../PeerGroup.ts';

/**
 * Returns the share of slots, quotas and limits that the scheduler may use. The rest is reserved for members that
 * may be partitioned.
 *
 * @param group - the gateways
 * @param now - present time in ms, monotonic
 * @returns a fraction from 0 to 1
 */
export const schedulerShare = (group: PeerGroup, now: number): number => {
  const alive = Math.max(1, group.liveMembers().length);
  return alive / (alive + group.recentlyLostMembers(now).length);
};

/**
 * Returns the share that a gateway may use which decides alone.
 *
 * @param group - the gateways
 * @param now - present time in ms, monotonic
 * @returns a fraction from 0 to 1
 */
export const ownShare = (group: PeerGroup, now: number): number =>
  1 / Math.max(1, group.liveMembers().length + group.recentlyLostMembers(now).length);
