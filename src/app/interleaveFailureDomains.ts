import type { Member } from '../state/Member.ts';

/**
 * Orders members so that the first ones lie in different failure domains.
 *
 * @param members - the members, the preferred one of each domain first
 * @returns the same members in another order
 */
export const interleaveFailureDomains = (members: readonly Member[]): readonly Member[] => {
  const seen = new Map<string, number>();
  return members
    .map((member) => {
      const turn = seen.get(member.failureDomain) ?? 0;
      seen.set(member.failureDomain, turn + 1);
      return { member, turn };
    })
    .sort((a, b) => a.turn - b.turn)
    .map(({ member }) => member);
};
