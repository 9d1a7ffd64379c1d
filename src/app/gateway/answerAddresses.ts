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
export const answerAddresses = (
  serving: readonly Member[],
  cutOff: readonly Member[],
): readonly string[] => {
  const isCutOffItself = cutOff.length > serving.length;
  const members = isCutOffItself ? [...serving, ...cutOff] : serving;
  const addresses = new Set(members.map(({ callerAddress }) => callerAddress));
  return [...addresses].slice(0, MAXIMUM_ADDRESSES);
};
