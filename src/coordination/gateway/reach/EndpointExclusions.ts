/** Why this gateway must not send requests to an endpoint for now. */
export type EndpointExclusion =
  /** The endpoint asked this gateway for rest until a moment in ms, monotonic. */
  | { readonly _tag: 'resting'; readonly until: number }
  /** The endpoint said to this gateway that it leaves. */
  | { readonly _tag: 'leaving' };

/** Longest rest that is granted, so that no endpoint is left out for good. */
const MAXIMUM_REST_MS = 600_000;
/** Time after which an endpoint that said that it leaves, and is still listed, is tried again. */
export const LEAVING_RETENTION_MS = 120_000;
const MAXIMUM_ENDPOINTS = 4_096;

interface Entry {
  restingUntil: number;
  leavingUntil: number;
}

/** Starts of endpoints to which this gateway must not send requests, by what they said to this gateway. */
export class EndpointExclusions {
  readonly #entries = new Map<string, Entry>();

  /** Whether no endpoint is excluded, so that none has to be looked up. */
  get isEmpty(): boolean {
    return this.#entries.size === 0;
  }

  /**
   * Returns the number of endpoints that are excluded.
   *
   * @param now - present time in ms, monotonic
   */
  count(now: number): number {
    this.#evict(now);
    return this.#entries.size;
  }

  /**
   * Records that an endpoint wants no requests for a while; a longer rest that it asked for before stays.
   *
   * @param endpoint - one start of an endpoint
   * @param forMs - how long
   * @param now - present time in ms, monotonic
   */
  recordRest(endpoint: string, forMs: number, now: number): void {
    const entry = this.#entryOf(endpoint, now);
    entry.restingUntil = Math.max(entry.restingUntil, now + Math.min(forMs, MAXIMUM_REST_MS));
  }

  /**
   * Records that an endpoint leaves.
   *
   * @param endpoint - one start of an endpoint
   * @param now - present time in ms, monotonic
   * @returns whether that is news
   */
  recordLeaving(endpoint: string, now: number): boolean {
    const entry = this.#entryOf(endpoint, now);
    const isNews = entry.leavingUntil <= now;
    entry.leavingUntil = now + LEAVING_RETENTION_MS;
    return isNews;
  }

  /**
   * Returns why an endpoint must not get a request.
   *
   * @param endpoint - one start of an endpoint
   * @param now - present time in ms, monotonic
   * @returns the reason, or undefined if it may get one
   */
  find(endpoint: string, now: number): EndpointExclusion | undefined {
    const entry = this.#entries.get(endpoint);
    if (entry === undefined) return undefined;
    if (entry.leavingUntil > now) return { _tag: 'leaving' };
    return entry.restingUntil > now ? { _tag: 'resting', until: entry.restingUntil } : undefined;
  }

  #entryOf(endpoint: string, now: number): Entry {
    this.#evict(now);
    const known = this.#entries.get(endpoint);
    if (known !== undefined) return known;
    const entry = { restingUntil: now, leavingUntil: now };
    this.#entries.set(endpoint, entry);
    const [oldest] = this.#entries.keys();
    if (this.#entries.size > MAXIMUM_ENDPOINTS && oldest !== undefined)
      this.#entries.delete(oldest);
    return entry;
  }

  #evict(now: number): void {
    this.#entries.forEach(({ restingUntil, leavingUntil }, endpoint) => {
      if (restingUntil <= now && leavingUntil <= now) this.#entries.delete(endpoint);
    });
  }
}
