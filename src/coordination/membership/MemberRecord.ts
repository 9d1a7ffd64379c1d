import type { Member } from '../../state/Member.ts';

/** A member's disseminated record, and what only this process tracks about the member. */
export interface MemberRecord {
  readonly member: Member;
  /**
   * When this process last replaced the member's record, in ms. For a suspected member, a pause of
   * this process moves this time forward.
   */
  readonly updatedAt: number;
  /**
   * When this process last received a probe or a probe request from the member, in ms; before the
   * first one, when it learned of the member. Acknowledgements don't count.
   */
  readonly lastContactAt: number;
  /** Revision of this process's own record that the member has acknowledged, or -1. */
  readonly acknowledgedRevision: number;
}

/** Order of statuses at equal revisions; the higher one replaces the lower. */
const STATUS_PRECEDENCE = { alive: 0, suspect: 1, dead: 2, left: 3 } as const;

/**
 * Returns whether an incarnation has ended permanently.
 *
 * @param member - the member's record
 * @returns true for `dead` and `left`
 */
export const hasEnded = (member: Member): boolean =>
  member.status === 'dead' || member.status === 'left';

/**
 * Returns whether an update of a member replaces the known record of the same incarnation. The
 * statuses `dead` and `left` are final. Otherwise the higher revision wins, and at equal revisions
 * the status of higher precedence.
 *
 * @param update - the received record
 * @param known - the known record
 * @returns true if the update replaces the known record
 */
export const supersedes = (update: Member, known: Member): boolean => {
  if (hasEnded(known)) return false;
  if (hasEnded(update)) return true;
  if (update.revision !== known.revision) return update.revision > known.revision;
  return STATUS_PRECEDENCE[update.status] > STATUS_PRECEDENCE[known.status];
};
