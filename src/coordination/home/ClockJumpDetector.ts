/** Largest lead of the wall clock that counts as an ordinary clock adjustment. */
const MAXIMUM_ADJUSTMENT_MS = 1_000;

/**
 * Detects that the machine was suspended, by comparing a monotonic clock, which may stop during the
 * suspension, with the wall clock, which goes on.
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
   * Compares the clocks. The reference offset between them is the lowest one since `reset`, so that a wall clock that was
   * set back doesn't hide a later suspension.
   *
   * @param now - present monotonic time, ms
   * @param wallNow - present Unix time, ms
   * @returns whether the wall clock has moved ahead by more than an ordinary adjustment
   */
  hasJumped(now: number, wallNow: number): boolean {
    const offsetMs = wallNow - now;
    this.#offsetMs = Math.min(this.#offsetMs, offsetMs);
    return offsetMs - this.#offsetMs > MAXIMUM_ADJUSTMENT_MS;
  }

  /**
   * Takes the present offset between the clocks as the new reference. Call it only once everything that
   * relied on the old one, such as the incarnation and its lease, has ended.
   *
   * @param now - present monotonic time, ms
   * @param wallNow - present Unix time, ms
   */
  reset(now: number, wallNow: number): void {
    this.#offsetMs = wallNow - now;
  }
}
