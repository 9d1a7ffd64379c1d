import type { Member } from '../../state/Member.ts';

/** What this process holds of one incarnation besides its published record. */
export interface MemberRecord {
  readonly member: Member;
  /** When the status last changed here. */
  readonly updatedAt: number;
  /** When a probe from it last arrived; the time of learning of it before the first one. */
  readonly lastContactAt: number;
  /** Revision of our own record that it has acknowledged, or -1. */
  readonly acknowledgedRevision: number;
}

const STATUS_PRECEDENCE = { alive: 0, suspect: 1, dead: 2, left: 3 } as const;

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
 * @param update - the record that arrived
 * @param known - the record held so far
 * @returns true where the news is to be taken over
 */
export const supersedes = (update: Member, known: Member): boolean => {
  if (hasEnded(known)) return false;
  if (hasEnded(update)) return true;
  if (update.revision !== known.revision) return update.revision > known.revision;
  return STATUS_PRECEDENCE[update.status] > STATUS_PRECEDENCE[known.status];
};
