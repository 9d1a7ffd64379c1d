import { digestJson } from '../../state/canonicalJson.ts';
import type { MoveStatus } from '../../state/MoveStatus.ts';
import type { Verdict } from '../../state/Verdict.ts';

/** Bounds what a faulty peer can make an entry keep. */
const MAXIMUM_FACTS = 4_096;

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
 * Verdicts and statuses of moves as a process knows them. Both only grow: a verdict is never
 * withdrawn and a status is never replaced by an older one, in whatever order they arrive.
 */
export class MoveRecords {
  private readonly verdicts = new Map<string, Verdict>();

  private readonly statuses = new Map<string, MoveStatus>();

  private summary: { verdicts: number; statuses: string } | undefined;

  /**
   * Adds a verdict.
   *
   * @returns whether it is news
   */
  addVerdict(verdict: Verdict): boolean {
    const key = verdictKey(verdict);
    if (this.verdicts.has(key) || this.verdicts.size >= MAXIMUM_FACTS) return false;
    this.verdicts.set(key, verdict);
    this.summary = undefined;
    return true;
  }

  /**
   * Adds a status.
   *
   * @returns whether it is news
   */
  addStatus(status: MoveStatus): boolean {
    const known = this.statuses.get(status.move);
    if (!supersedes(status, known)) return false;
    if (known === undefined && this.statuses.size >= MAXIMUM_FACTS) return false;
    this.statuses.set(status.move, status);
    this.summary = undefined;
    return true;
  }

  statusOf(key: string): MoveStatus | undefined {
    return this.statuses.get(key);
  }

  verdictsOf(key: string): readonly Verdict[] {
    return this.allVerdicts().filter(({ move }) => move === key);
  }

  allVerdicts(): readonly Verdict[] {
    return [...this.verdicts.values()];
  }

  allStatuses(): readonly MoveStatus[] {
    return [...this.statuses.values()];
  }

  /**
   * Forgets moves that the configuration in force no longer has. Facts of a later roll are kept:
   * they may arrive before it does.
   *
   * @param keys - keys of the moves in force
   * @param rollNumber - number of the roll in force
   */
  retain(keys: ReadonlySet<string>, rollNumber: number): void {
    const isStale = (fact: { move: string; rollNumber: number }): boolean =>
      !keys.has(fact.move) && fact.rollNumber <= rollNumber;
    this.verdicts.forEach((verdict, key) => isStale(verdict) && this.verdicts.delete(key));
    this.statuses.forEach((status, key) => isStale(status) && this.statuses.delete(key));
    this.summary = undefined;
  }

  /**
   * Sums all facts up, so that two processes can find out cheaply whether they know the same.
   *
   * @returns the number of verdicts and a digest of verdicts and statuses
   */
  summarize(): { readonly verdicts: number; readonly statuses: string } {
    this.summary ??= {
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
    return this.summary;
  }
}
