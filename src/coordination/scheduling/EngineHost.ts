import type { LoadReport } from '../../protocol/engine/LoadReport.ts';

/** Time for which a load report says something of work that isn't ours. */
const REPORT_LIFE_MS = 3_000;
const HISTORY_LENGTH = 512;
/** How far the engine's view and ours may be apart in time. */
const REPORT_SLACK_MS = 100;

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

  /** Whether changes older than the history were dropped. */
  #isTruncated = false;

  /** Notes a change of the number of own requests. */
  adjustRunning(by: number, now: number): void {
    this.running = Math.max(0, this.running + by);
    this.#history.push({ at: now, running: this.running });
    if (this.#history.length < 2 * HISTORY_LENGTH) return;
    this.#history = this.#history.slice(-HISTORY_LENGTH);
    this.#isTruncated = true;
  }

  /** Takes a load report and leaves out of it what ran there by own grants at its time. */
  applyLoadReport({ ageMs, running, waiting }: LoadReport, now: number): void {
    const own = this.#runningAt(now - ageMs);
    this.#foreign = [...this.#foreign.slice(-1), Math.max(0, running + waiting - own)];
    this.#reportedAt = now;
  }

  /** Most own requests around a time: grants and releases take a while to show at the engine. */
  #runningAt(at: number): number {
    const before = this.#history.findLast((entry) => entry.at <= at - REPORT_SLACK_MS);
    const around = this.#history.filter((entry) => Math.abs(entry.at - at) < REPORT_SLACK_MS);
    const unknown = this.#isTruncated ? this.slots : 0;
    return Math.max(before?.running ?? unknown, ...around.map((entry) => entry.running));
  }

  /** @returns slots that are free, unproven foreign work left out */
  free(now: number): number {
    const isFresh = now - this.#reportedAt < REPORT_LIFE_MS && this.#foreign.length > 1;
    const foreign = isFresh ? Math.min(...this.#foreign) : 0;
    return this.slots - this.running - foreign;
  }
}
