/** Largest disagreement between the two clocks that counts as ordinary adjustment. */
const MAXIMUM_STEP_MS = 1_000;

/**
 * Notices that the machine stood still, by comparing a monotonic clock, which may stop while the
 * machine sleeps, with the wall clock, which does not.
 */
export class ClockJumpDetector {
  #offsetMs: number;

  /**
   * @param now - present monotonic time, ms
   * @param wallNow - present Unix time, ms
   */
  constructor(now: number, wallNow: number) {
    this.#offsetMs = wallNow - now;
  }

  /**
   * Compares the clocks without taking over a change.
   *
   * @param now - present monotonic time, ms
   * @param wallNow - present Unix time, ms
   * @returns whether the wall clock went ahead of the monotonic one by more than an adjustment
   */
  hasJumped(now: number, wallNow: number): boolean {
    return wallNow - now - this.#offsetMs > MAXIMUM_STEP_MS;
  }

  /**
   * Takes over the clocks as they are, after what depended on them has been ended.
   *
   * @param now - present monotonic time, ms
   * @param wallNow - present Unix time, ms
   */
  reset(now: number, wallNow: number): void {
    this.#offsetMs = wallNow - now;
  }
}
