const WINDOW_MS = 2_000;

/** Requests that each endpoint had in flight lately, from what they took. */
export class LoadMeter {
  private readonly estimates = new Map<string, { inFlight: number; at: number }>();

  /**
   * Counts a finished request and gives the load band of its endpoint, which grows by one with
   * each doubling of the requests in flight.
   *
   * @param endpoint - the endpoint's name
   * @param totalMs - how long the request held the endpoint
   * @param now - present time in ms
   * @returns the band, 0 for an idle endpoint
   */
  add(endpoint: string, totalMs: number, now: number): number {
    const known = this.estimates.get(endpoint) ?? { inFlight: 0, at: now };
    const kept = Math.exp((known.at - now) / WINDOW_MS);
    const inFlight = known.inFlight * kept + totalMs / WINDOW_MS;
    this.estimates.set(endpoint, { inFlight, at: now });
    return Math.floor(Math.log2(1 + inFlight));
  }
}
