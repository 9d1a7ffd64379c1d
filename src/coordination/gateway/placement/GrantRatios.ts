/** Decayed numbers of one fairness group. */
interface GrantCount {
  requests: number;
  grants: number;
  /** When the numbers were last decayed, in ms. */
  countedAt: number;
}

/** Time constant of the exponential decay; a count keeps 1/e of its weight after it. */
const DECAY_TIME_CONSTANT_MS = 5_000;
/** Decayed number of requests below which a ratio isn't meaningful. */
const MINIMUM_REQUESTS = 4;

/**
 * Fraction of the recent requests of each fairness group that got a slot, with exponential decay.
 */
export class GrantRatios {
  readonly #counts = new Map<string, GrantCount>();

  /** Counts a request for a slot. */
  recordRequest(group: string, now: number): void {
    this.#decayCount(group, now).requests += 1;
  }

  /** Counts a granted slot. */
  recordGrant(group: string, now: number): void {
    this.#decayCount(group, now).grants += 1;
  }

  /** Granted fraction of recent requests, from 0 to 1; 1 if there were too few requests. */
  grantRatio(group: string, now: number): number {
    const { requests, grants } = this.#decayCount(group, now);
    return requests < MINIMUM_REQUESTS ? 1 : Math.min(1, grants / requests);
  }

  /** Decays a group's numbers to the current time and returns them; a new group starts at zero. */
  #decayCount(group: string, now: number): GrantCount {
    const count = this.#counts.get(group) ?? { requests: 0, grants: 0, countedAt: now };
    const factor = Math.exp(-(now - count.countedAt) / DECAY_TIME_CONSTANT_MS);
    count.requests *= factor;
    count.grants *= factor;
    count.countedAt = now;
    this.#counts.set(group, count);
    return count;
  }
}
