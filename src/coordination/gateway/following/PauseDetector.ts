/** A time in which the process did nothing, or its clocks disagree on the time that has passed. */
export interface Pause {
  /** Time that the monotonic clock counted, in ms; 0 if the process ran. */
  readonly countedMs: number;
  /** Time that only the wall clock counted, in ms; 0 if it is behind. */
  readonly uncountedMs: number;
}

/**
 * Longest time between two observations in which what was known at the first is still used. It is below the times after
 * which others act without this process: 1 s for its slots, 2 s for a change of the store.
 */
const MAXIMUM_GAP_MS = 500;

/**
 * Finds out that the process was paused: its event loop was blocked, it was stopped, or its machine was suspended, which
 * only the wall clock counts. The wall clock may also be set, forward or backward; that counts as a pause as well, since
 * the two can't be told apart.
 */
export class PauseDetector {
  #last: { readonly at: number; readonly wallAt: number } | undefined;

  /**
   * Compares the clocks with those of the last observation. Call it periodically, and before a permission is used that
   * may have expired.
   *
   * @param now - present time in ms, monotonic
   * @param wallNow - present Unix time in ms
   * @returns the pause since the last observation; undefined if there was none
   */
  observe(now: number, wallNow: number): Pause | undefined {
    const last = this.#last;
    this.#last = { at: now, wallAt: wallNow };
    if (last === undefined) return undefined;
    const countedMs = now - last.at;
    const leadMs = wallNow - last.wallAt - countedMs;
    if (countedMs <= MAXIMUM_GAP_MS && Math.abs(leadMs) <= MAXIMUM_GAP_MS) return undefined;
    return {
      countedMs: countedMs > MAXIMUM_GAP_MS ? countedMs : 0,
      uncountedMs: leadMs > MAXIMUM_GAP_MS ? leadMs : 0,
    };
  }
}
