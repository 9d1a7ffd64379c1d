/** A first attempt has at least this fraction of the route's longest deadline left. */
const MINIMUM_FIRST_ATTEMPT_RATIO = 0.84;
/**
 * Weight of the newest request in the moving average by which the longest deadline decreases, so
 * that the detector adapts to callers that change to a shorter one.
 */
const LONGEST_DEADLINE_DECAY = 0.01;

/**
 * Detects requests that their caller retries. First attempts on a route carry about the same
 * deadline; a retry has much less of it left.
 */
export class CallerRetryDetector {
  /** Longest recent deadline of each route, in ms. */
  readonly #longestDeadlineMsByRoute = new Map<string, number>();

  /**
   * Records a request and estimates how long its caller has waited since the first attempt.
   *
   * @param route - the route's name
   * @param remainingMs - time until the caller's deadline, in ms
   * @returns time since the caller's first attempt, in ms; 0 if this may be the first attempt
   */
  estimateWaitedMs(route: string, remainingMs: number): number {
    const longest = this.#updateLongestDeadline(route, remainingMs);
    return remainingMs < longest * MINIMUM_FIRST_ATTEMPT_RATIO ? longest - remainingMs : 0;
  }

  #updateLongestDeadline(route: string, remainingMs: number): number {
    const previous = this.#longestDeadlineMsByRoute.get(route) ?? remainingMs;
    const longest = Math.max(
      remainingMs,
      previous - LONGEST_DEADLINE_DECAY * (previous - remainingMs),
    );
    this.#longestDeadlineMsByRoute.set(route, longest);
    return longest;
  }
}
