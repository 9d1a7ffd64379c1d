import type { Member } from '../../state/Member.ts';

/** What this process holds of one incarnation besides its published record. */
export interface MemberRecord {
  readonly member: Member;
  /** When the status last changed here. */
  readonly changedAt: number;
  /** When a probe from it last arrived; the time of learning of it before the first one. */
  readonly lastContactAt: number;
  /** Revision of our own record that it has acknowledged, or -1. */
  readonly toldRevision: number;
}

const STATUS_WEIGHT = { alive: 0, suspect: 1, dead: 2, left: 3 } as const;

/**
 * Tells whether an incarnation has ended for good.
 *
 * @param member - the member's record
 * @returns true for `dead` and `left`
 */
export const hasEnded = (member: Member): boolean =>
  member.status === 'dead' || member.status === 'left';

/**
 * Tells whether news of a member replaces what is held of the same incarnation. An end is final;
 * otherwise the higher revision wins, and of equal ones the graver status.
 *
 * @param news - the record that arrived
 * @param held - the record held so far
 * @returns true where the news is to be taken over
 */
export const supersedes = (news: Member, held: Member): boolean => {
  if (hasEnded(held)) return false;
  if (hasEnded(news)) return true;
  if (news.revision !== held.revision) return news.revision > held.revision;
  return STATUS_WEIGHT[news.status] > STATUS_WEIGHT[held.status];
};
