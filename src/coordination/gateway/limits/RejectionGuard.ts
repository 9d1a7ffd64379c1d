const WINDOW_MS = 1_000;
/** Part of the rejections that an endpoint bears; the rest is for requests in flight and for other processes. */
const USABLE_FRACTION = 0.5;
/** Shortest interval at which one more request is sent at a time after a rejection. */
const MINIMUM_GROWTH_MS = 250;
/** Time from a rejection in which the requests at a time may come back to where they were rejected. */
const GROWTH_PERIOD_MS = 3_000;

/**
 * Keeps the rejections of an endpoint that bears few of them a second below their bound, by the number of
 * requests that it gets at a time. What the endpoint lets wait isn't known; its rejections show it.
 */
export class RejectionGuard {
  /** Requests at a time that were possible at the last rejection. */
  #base = Number.POSITIVE_INFINITY;

  #changedAt = Number.NEGATIVE_INFINITY;

  #rejectedAt: number[] = [];

  /**
   * Returns the requests that the endpoint may get at a time.
   *
   * @param slots - its slots, which are the most
   * @param rejectionsPerSecond - rejections that it bears
   * @param now - present time in ms, monotonic
   * @returns at least 1
   */
  slotLimit(slots: number, rejectionsPerSecond: number, now: number): number {
    const growthMs = Math.max(
      MINIMUM_GROWTH_MS,
      GROWTH_PERIOD_MS / Math.max(1, rejectionsPerSecond),
    );
    const grown = Math.floor((now - this.#changedAt) / growthMs);
    return Math.max(1, Math.min(slots, this.#base + grown));
  }

  /**
   * Records a rejection for want of room.
   *
   * @param running - requests that the endpoint has otherwise
   * @param now - present time in ms, monotonic
   */
  recordRejection(running: number, now: number): void {
    this.#base = Math.max(1, running);
    this.#changedAt = now;
    this.#rejectedAt = [...this.#rejectedAt.filter((at) => now - at < WINDOW_MS), now];
  }

  /**
   * Returns the time until another rejection would be borne.
   *
   * @param rejectionsPerSecond - rejections that the endpoint bears, as far as this process may use them
   * @param now - present time in ms, monotonic
   * @returns the time in ms; 0 if it is borne now
   */
  msUntilOpen(rejectionsPerSecond: number, now: number): number {
    const recent = this.#rejectedAt.filter((at) => now - at < WINDOW_MS);
    const allowed = Math.max(1, Math.floor(USABLE_FRACTION * rejectionsPerSecond));
    const blocking = recent[recent.length - allowed];
    return blocking === undefined ? 0 : blocking + WINDOW_MS - now;
  }

  /** Begins with one request at a time, for a process that doesn't know what others have sent. */
  reset(now: number): void {
    this.#base = 1;
    this.#changedAt = now;
  }
}
