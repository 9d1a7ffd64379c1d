/** First tries of a route's callers have at least this part of the longest deadline left. */
const LEAST_FIRST_SHARE = 0.84;
/** How fast the longest deadline is forgotten where no caller begins with it any more. */
const FORGETTING = 0.01;

/**
 * Tells a request that its caller sends once more from a first one. Callers of a route begin with
 * about the same deadline, and one that comes back has much less of it left.
 */
export class CallerPatience {
  readonly #longestMs = new Map<string, number>();

  /**
   * Learns from a request, and tells how long its caller has waited already.
   *
   * @param route - the route's name
   * @param deadlineMs - how long the caller will still wait
   * @returns time since the caller's first try, in ms; 0 for what may be a first one
   */
  waitedBefore(route: string, deadlineMs: number): number {
    const longest = this.#learn(route, deadlineMs);
    return deadlineMs < longest * LEAST_FIRST_SHARE ? longest - deadlineMs : 0;
  }

  #learn(route: string, deadlineMs: number): number {
    const held = this.#longestMs.get(route) ?? deadlineMs;
    const longest = Math.max(deadlineMs, held - FORGETTING * (held - deadlineMs));
    this.#longestMs.set(route, longest);
    return longest;
  }
}
