interface RouteCount {
  asked: number;
  granted: number;
  countedAt: number;
}

/** Time in which a count loses most of its weight. */
const DECAY_MS = 5_000;
/** Requests that must have been asked for before a share says anything. */
const LEAST_ASKED = 4;

/** How much of what was lately asked for on each route was granted. */
export class ServedShares {
  readonly #counts = new Map<string, RouteCount>();

  countAsked(route: string, now: number): void {
    this.#decayed(route, now).asked += 1;
  }

  countGranted(route: string, now: number): void {
    this.#decayed(route, now).granted += 1;
  }

  /** Gives the share from 0 to 1, or 1 where too little was asked for. */
  share(route: string, now: number): number {
    const { asked, granted } = this.#decayed(route, now);
    return asked < LEAST_ASKED ? 1 : Math.min(1, granted / asked);
  }

  #decayed(route: string, now: number): RouteCount {
    const count = this.#counts.get(route) ?? { asked: 0, granted: 0, countedAt: now };
    const factor = Math.exp(-(now - count.countedAt) / DECAY_MS);
    count.asked *= factor;
    count.granted *= factor;
    count.countedAt = now;
    this.#counts.set(route, count);
    return count;
  }
}
