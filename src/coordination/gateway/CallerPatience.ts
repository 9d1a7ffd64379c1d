interface RouteDeadlines {
  /** Deadline that most callers of the route begin with. */
  usualMs: number;
  /** How far the usual one leads over others. */
  lead: number;
}

const LARGEST_LEAD = 50;

/**
 * Tells a request that its caller sends once more from a first one. Callers of a route begin with the
 * same deadline, and one that comes back has less of it left.
 */
export class CallerPatience {
  readonly #routes = new Map<string, RouteDeadlines>();

  /**
   * Learns from a request, and tells how long its caller has waited already.
   *
   * @param route - the route's name
   * @param deadlineMs - how long the caller will still wait
   * @returns time since the caller's first try, in ms; 0 for a first one
   */
  waitedBefore(route: string, deadlineMs: number): number {
    const usual = this.#learn(route, deadlineMs);
    return Math.max(0, usual - deadlineMs);
  }

  /** Majority vote in constant space: the usual deadline outlasts all others together. */
  #learn(route: string, deadlineMs: number): number {
    const held = this.#routes.get(route);
    if (held === undefined) {
      this.#routes.set(route, { usualMs: deadlineMs, lead: 1 });
      return deadlineMs;
    }
    if (held.usualMs === deadlineMs) held.lead = Math.min(LARGEST_LEAD, held.lead + 1);
    else held.lead -= 1;
    if (held.lead < 0) {
      held.usualMs = deadlineMs;
      held.lead = 1;
    }
    return held.usualMs;
  }
}
