interface RouteCount {
  requests: number;
  grants: number;
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
    this.#decayed(route, now).requests += 1;
  }

  countGranted(route: string, now: number): void {
    this.#decayed(route, now).grants += 1;
  }

  /** Gives the share from 0 to 1, or 1 where too little was asked for. */
  grantRatio(route: string, now: number): number {
    const { requests: asked, grants: granted } = this.#decayed(route, now);
    return asked < LEAST_ASKED ? 1 : Math.min(1, granted / asked);
  }

  #decayed(route: string, now: number): RouteCount {
    const count = this.#counts.get(route) ?? { requests: 0, grants: 0, countedAt: now };
    const factor = Math.exp(-(now - count.countedAt) / DECAY_MS);
    count.requests *= factor;
    count.grants *= factor;
    count.countedAt = now;
    this.#counts.set(route, count);
    return count;
  }
}
