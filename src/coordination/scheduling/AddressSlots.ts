import type { LoadReport } from '../../protocol/engine/engineReports.ts';

/** Time after its arrival for which a load report is used to infer foreign work. */
const LOAD_REPORT_VALIDITY_MS = 3_000;
/** Samples kept when the history is truncated, which happens at twice this number. */
const MINIMUM_HISTORY_LENGTH = 512;
/** Tolerated time difference between the engine's request count and this scheduler's. */
const REPORT_TIME_TOLERANCE_MS = 100;

interface RunningSample {
  readonly at: number;
  readonly running: number;
}

/**
 * Slot occupancy of one engine address, shared by all versions there. Foreign work, which other
 * schedulers or lost owners started, is inferred from the engine's load reports.
 */
export class AddressSlots {
  /** Running requests that this scheduler granted. */
  running = 0;

  /** Configured number of slots. */
  slots = 0;

  /** Numbers of foreign requests inferred from the last two load reports, the older one first. */
  #foreignRunning: number[] = [];

  #reportedAt = Number.NEGATIVE_INFINITY;

  #runningHistory: RunningSample[] = [];

  /** Whether samples older than the history were discarded. */
  #isHistoryTruncated = false;

  /**
   * Changes the number of running requests that this scheduler granted.
   *
   * @param delta - difference to add; negative when requests end
   * @param now - present time in ms
   */
  adjustRunning(delta: number, now: number): void {
    this.running = Math.max(0, this.running + delta);
    this.#runningHistory.push({ at: now, running: this.running });
    if (this.#runningHistory.length < 2 * MINIMUM_HISTORY_LENGTH) return;
    this.#runningHistory = this.#runningHistory.slice(-MINIMUM_HISTORY_LENGTH);
    this.#isHistoryTruncated = true;
  }

  /**
   * Applies a load report. Requests that this scheduler had granted and that ran at the time of
   * the report are subtracted; the rest counts as foreign.
   *
   * @param report - the engine's load report
   * @param now - present time in ms
   */
  applyLoadReport({ ageMs, running, waiting }: LoadReport, now: number): void {
    const ownRunning = this.#maximumRunningNear(now - ageMs);
    this.#foreignRunning = [
      ...this.#foreignRunning.slice(-1),
      Math.max(0, running + waiting - ownRunning),
    ];
    this.#reportedAt = now;
  }

  /**
   * Gives the highest number of own requests near a time, since the engine sees grants and releases
   * with a delay. For a time before a truncated history, all slots are assumed to have been taken.
   */
  #maximumRunningNear(at: number): number {
    const before = this.#runningHistory.findLast(
      (sample) => sample.at <= at - REPORT_TIME_TOLERANCE_MS,
    );
    const around = this.#runningHistory.filter(
      (sample) => Math.abs(sample.at - at) < REPORT_TIME_TOLERANCE_MS,
    );
    const unknown = this.#isHistoryTruncated ? this.slots : 0;
    return Math.max(before?.running ?? unknown, ...around.map((sample) => sample.running));
  }

  /**
   * Gives the number of free slots. Foreign requests count only as far as the last two load reports
   * agree and the latest is recent.
   *
   * @param now - present time in ms
   * @returns number of free slots; negative if the address is overcommitted
   */
  freeSlots(now: number): number {
    const isFresh =
      now - this.#reportedAt < LOAD_REPORT_VALIDITY_MS && this.#foreignRunning.length > 1;
    const foreignRunning = isFresh ? Math.min(...this.#foreignRunning) : 0;
    return this.slots - this.running - foreignRunning;
  }
}
