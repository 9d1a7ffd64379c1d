import type { LoadReport } from '../../protocol/engine/LoadReport.ts';

/** Time for which a load report says something of work that isn't ours. */
const LOAD_REPORT_VALIDITY_MS = 3_000;
const MINIMUM_HISTORY_LENGTH = 512;
/** How far the engine's view and ours may be apart in time. */
const REPORT_TIME_TOLERANCE_MS = 100;

interface RunningSample {
  readonly at: number;
  readonly running: number;
}

/** The slots of one address; versions that share an address share them. */
export class AddressSlots {
  running = 0;

  slots = 0;

  /** Running requests that other schedulers, or homes now gone, started there. */
  #foreignRunning: number[] = [];

  #reportedAt = Number.NEGATIVE_INFINITY;

  #runningHistory: RunningSample[] = [];

  /** Whether changes older than the history were dropped. */
  #isHistoryTruncated = false;

  /** Notes a change of the number of own requests. */
  adjustRunning(by: number, now: number): void {
    this.running = Math.max(0, this.running + by);
    this.#runningHistory.push({ at: now, running: this.running });
    if (this.#runningHistory.length < 2 * MINIMUM_HISTORY_LENGTH) return;
    this.#runningHistory = this.#runningHistory.slice(-MINIMUM_HISTORY_LENGTH);
    this.#isHistoryTruncated = true;
  }

  /** Takes a load report and leaves out of it what ran there by own grants at its time. */
  applyLoadReport({ ageMs, running, waiting }: LoadReport, now: number): void {
    const own = this.#maximumRunningNear(now - ageMs);
    this.#foreignRunning = [...this.#foreignRunning.slice(-1), Math.max(0, running + waiting - own)];
    this.#reportedAt = now;
  }

  /** Most own requests around a time: grants and releases take a while to show at the engine. */
  #maximumRunningNear(at: number): number {
    const before = this.#runningHistory.findLast((entry) => entry.at <= at - REPORT_TIME_TOLERANCE_MS);
    const around = this.#runningHistory.filter((entry) => Math.abs(entry.at - at) < REPORT_TIME_TOLERANCE_MS);
    const unknown = this.#isHistoryTruncated ? this.slots : 0;
    return Math.max(before?.running ?? unknown, ...around.map((entry) => entry.running));
  }

  /** @returns slots that are free, unproven foreign work left out */
  freeSlots(now: number): number {
    const isFresh = now - this.#reportedAt < LOAD_REPORT_VALIDITY_MS && this.#foreignRunning.length > 1;
    const foreign = isFresh ? Math.min(...this.#foreignRunning) : 0;
    return this.slots - this.running - foreign;
  }
}
