import type { Member } from '../../state/Member.ts';

const MAXIMUM_ADDRESSES = 64;

/**
 * Lists the addresses to which callers may send requests. If more members were lost recently than are
 * serving, this instance is probably the one that is partitioned, and its callers may still reach the
 * lost members, so that these are listed too. Members that reach no endpoint are left out while others do:
 * they serve the callers that come all the same, through the others.
 *
 * @param serving - members that accept requests
 * @param recentlyLost - members that died recently without leaving
 * @returns distinct addresses, `IP:PORT` each, at most `MAXIMUM_ADDRESSES`
 */
export const listAddressesForCallers = (
  serving: readonly Member[],
  recentlyLost: readonly Member[],
): readonly string[] => {
  const reaching = serving.filter(({ isolated }) => isolated !== true);
  const preferred = reaching.length > 0 ? reaching : serving;
  const isPartitioned = recentlyLost.length > serving.length;
  const members = isPartitioned ? [...preferred, ...recentlyLost] : preferred;
  const addresses = new Set(members.map(({ callerAddress }) => callerAddress));
  return [...addresses].slice(0, MAXIMUM_ADDRESSES);
};
