import type { Member } from '../state/Member.ts';

/**
 * Interleaves members by failure domain, so that the first ones are in different failure domains.
 *
 * @param members - the members, the preferred one of each domain first
 * @returns all members, in the new order
 */
export const interleaveFailureDomains = (members: readonly Member[]): readonly Member[] => {
  const membersPerDomain = new Map<string, number>();
  return members
    .map((member) => {
      const position = membersPerDomain.get(member.failureDomain) ?? 0;
      membersPerDomain.set(member.failureDomain, position + 1);
      return { member, position };
    })
    .sort((a, b) => a.position - b.position)
    .map(({ member }) => member);
};
