import type { Member } from '../../state/Member.ts';

const MAXIMUM_ADDRESSES = 64;

/**
 * Gives the addresses that callers may use. Where most others seem lost at once, this instance is the
 * one that is cut off, and its callers may still reach them.
 *
 * @param serving - members that take requests
 * @param cutOff - members lost lately
 * @returns `IP:PORT` of each
 */
export const listCallerAddresses = (
  serving: readonly Member[],
  recentlyLost: readonly Member[],
): readonly string[] => {
  const isIsolated = recentlyLost.length > serving.length;
  const members = isIsolated ? [...serving, ...recentlyLost] : serving;
  const addresses = new Set(members.map(({ callerAddress }) => callerAddress));
  return [...addresses].slice(0, MAXIMUM_ADDRESSES);
};
