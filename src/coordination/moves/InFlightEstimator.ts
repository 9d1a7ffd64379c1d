/** Time constant with which the estimate decays. */
const AVERAGING_WINDOW_MS = 2_000;

/** Estimates the recent number of requests in flight at each endpoint from the durations of ended requests. */
export class InFlightEstimator {
  private readonly estimates = new Map<string, { inFlight: number; at: number }>();

  /**
   * Adds an ended request and gives the load band of its endpoint. The band grows by one with each
   * doubling of the requests in flight.
   *
   * @param endpoint - the endpoint's name
   * @param totalMs - time for which the request was in flight, ms
   * @param now - present monotonic time, ms
   * @returns the band, 0 for an idle endpoint
   */
  addFinished(endpoint: string, totalMs: number, now: number): number {
    const previous = this.estimates.get(endpoint) ?? { inFlight: 0, at: now };
    const decay = Math.exp((previous.at - now) / AVERAGING_WINDOW_MS);
    const inFlight = previous.inFlight * decay + totalMs / AVERAGING_WINDOW_MS;
    this.estimates.set(endpoint, { inFlight, at: now });
    return Math.floor(Math.log2(1 + inFlight));
  }
}
