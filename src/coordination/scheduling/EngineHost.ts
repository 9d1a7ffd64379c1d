import type { LoadReport } from '../../protocol/engine/LoadReport.ts';

/** Time for which a load report says something of work that isn't ours. */
const REPORT_LIFE_MS = 3_000;
const HISTORY_LENGTH = 64;

interface Occupancy {
  readonly at: number;
  readonly running: number;
}

/** The slots of one address; versions that share an address share them. */
export class EngineHost {
  running = 0;

  slots = 0;

  /** Running requests that other schedulers, or homes now gone, started there. */
  #foreign: number[] = [];

  #reportedAt = Number.NEGATIVE_INFINITY;

  #history: Occupancy[] = [];

  /** Notes a change of the number of own requests. */
  change(by: number, now: number): void {
    this.running = Math.max(0, this.running + by);
    this.#history.push({ at: now, running: this.running });
    if (this.#history.length > HISTORY_LENGTH) this.#history = this.#history.slice(1);
  }

  /** Takes a load report and leaves out of it what ran there by own grants at its time. */
  report({ ageMs, running, waiting }: LoadReport, now: number): void {
    const takenAt = now - ageMs;
    const own = this.#history.findLast(({ at }) => at <= takenAt)?.running ?? 0;
    this.#foreign = [...this.#foreign.slice(-1), Math.max(0, running + waiting - own)];
    this.#reportedAt = now;
  }

  /** @returns slots that are free, unproven foreign work left out */
  free(now: number): number {
    const isFresh = now - this.#reportedAt < REPORT_LIFE_MS && this.#foreign.length > 1;
    const foreign = isFresh ? Math.min(...this.#foreign) : 0;
    return this.slots - this.running - foreign;
  }
}
