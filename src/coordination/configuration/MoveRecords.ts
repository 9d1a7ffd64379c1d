import { digestJson } from '../../state/canonicalJson.ts';
import type { MoveStatus } from '../../state/MoveStatus.ts';
import type { Verdict } from '../../state/Verdict.ts';

/** Limit for verdicts and for statuses each, so that a faulty peer can't make an entry use unbounded memory. */
const MAXIMUM_RECORDS_PER_KIND = 4_096;

const isFinal = ({ state }: MoveStatus): boolean =>
  state._tag === 'done' || state._tag === 'reverted';

const supersedes = (next: MoveStatus, known: MoveStatus | undefined): boolean => {
  if (known === undefined) return true;
  if (isFinal(known)) return false;
  if (isFinal(next)) return true;
  if (next.fencing !== known.fencing) return next.fencing > known.fencing;
  return next.sequence > known.sequence;
};

const verdictKey = ({ move, finder, reason }: Verdict): string => `${move}/${finder}/${reason}`;

/**
 * Verdicts and statuses of moves that a process knows. Updates are monotonic and independent of
 * their order of arrival: a verdict is never withdrawn, and a status is never replaced by an older
 * one.
 */
export class MoveRecords {
  private readonly verdicts = new Map<string, Verdict>();

  private readonly statuses = new Map<string, MoveStatus>();

  private cachedSummary: { verdicts: number; statuses: string } | undefined;

  /**
   * Adds a verdict.
   *
   * @param verdict - the verdict
   * @returns whether it was added, false if it was known or the limit is reached
   */
  addVerdict(verdict: Verdict): boolean {
    const key = verdictKey(verdict);
    if (this.verdicts.has(key) || this.verdicts.size >= MAXIMUM_RECORDS_PER_KIND) return false;
    this.verdicts.set(key, verdict);
    this.cachedSummary = undefined;
    return true;
  }

  /**
   * Adds a status.
   *
   * @param status - the status
   * @returns whether it was added, false if it is not newer than the known one or the limit is reached
   */
  addStatus(status: MoveStatus): boolean {
    const known = this.statuses.get(status.move);
    if (!supersedes(status, known)) return false;
    if (known === undefined && this.statuses.size >= MAXIMUM_RECORDS_PER_KIND) return false;
    this.statuses.set(status.move, status);
    this.cachedSummary = undefined;
    return true;
  }

  /**
   * Finds a move's last known status.
   *
   * @param key - the move's key
   * @returns the status, undefined if none is known
   */
  statusOf(key: string): MoveStatus | undefined {
    return this.statuses.get(key);
  }

  /**
   * Finds the verdicts against a move's new version.
   *
   * @param key - the move's key
   * @returns the verdicts, empty if there are none
   */
  verdictsOf(key: string): readonly Verdict[] {
    return this.allVerdicts().filter(({ move }) => move === key);
  }

  /** @returns verdicts of all moves */
  allVerdicts(): readonly Verdict[] {
    return [...this.verdicts.values()];
  }

  /** @returns the last known status of each move */
  allStatuses(): readonly MoveStatus[] {
    return [...this.statuses.values()];
  }

  /**
   * Evicts the records of moves that the configuration in force no longer has. Records of a later
   * roll are kept, because they may arrive before that roll does.
   *
   * @param keys - keys of the moves in force
   * @param rollNumber - number of the roll in force
   */
  retain(keys: ReadonlySet<string>, rollNumber: number): void {
    const isStale = (record: { move: string; rollNumber: number }): boolean =>
      !keys.has(record.move) && record.rollNumber <= rollNumber;
    this.verdicts.forEach((verdict, key) => isStale(verdict) && this.verdicts.delete(key));
    this.statuses.forEach((status, key) => isStale(status) && this.statuses.delete(key));
    this.cachedSummary = undefined;
  }

  /**
   * Summarizes all records, so that two processes can compare them at little cost. The summary is
   * cached until a record changes.
   *
   * @returns `verdicts`, the number of verdicts, and `statuses`, a digest of all verdicts and statuses
   */
  summarize(): { readonly verdicts: number; readonly statuses: string } {
    this.cachedSummary ??= {
      verdicts: this.verdicts.size,
      statuses: digestJson([
        [...this.verdicts.keys()].sort(),
        this.allStatuses()
          .map(
            ({ move, fencing, sequence, state }) => `${move} ${fencing} ${sequence} ${state._tag}`,
          )
          .sort(),
      ]),
    };
    return this.cachedSummary;
  }
}
