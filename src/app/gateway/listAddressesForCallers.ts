import type { Member } from '../../state/Member.ts';

const MAXIMUM_ADDRESSES = 64;

/**
 * Lists the addresses to which callers may send requests. If more members were lost recently than are
 * serving, this instance is probably the one that is partitioned, and its callers may still reach the
 * lost members, so that these are listed too.
 *
 * @param serving - members that accept requests
 * @param recentlyLost - members that died recently without leaving
 * @returns distinct addresses, `IP:PORT` each, at most `MAXIMUM_ADDRESSES`
 */
export const listAddressesForCallers = (
  serving: readonly Member[],
  recentlyLost: readonly Member[],
): readonly string[] => {
  const isIsolated = recentlyLost.length > serving.length;
  const members = isIsolated ? [...serving, ...recentlyLost] : serving;
  const addresses = new Set(members.map(({ callerAddress }) => callerAddress));
  return [...addresses].slice(0, MAXIMUM_ADDRESSES);
};
