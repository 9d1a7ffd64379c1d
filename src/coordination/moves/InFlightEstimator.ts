/** Time constant of the exponential decay of an estimate. */
const DECAY_TIME_CONSTANT_MS = 2_000;

/** Estimates the recent number of requests in flight at each endpoint from the durations of ended requests. */
export class InFlightEstimator {
  private readonly estimates = new Map<string, { inFlight: number; at: number }>();

  /**
   * Adds an ended request and returns the load band of its endpoint, which is the estimate on a
   * logarithmic scale: each doubling of the requests in flight adds about one.
   *
   * @param endpoint - the endpoint's name
   * @param totalMs - time for which the request was in flight, ms
   * @param now - present monotonic time, ms
   * @returns the band, 0 for an idle endpoint
   */
  addEnded(endpoint: string, totalMs: number, now: number): number {
    const previous = this.estimates.get(endpoint) ?? { inFlight: 0, at: now };
    const decay = Math.exp((previous.at - now) / DECAY_TIME_CONSTANT_MS);
    const inFlight = previous.inFlight * decay + totalMs / DECAY_TIME_CONSTANT_MS;
    this.estimates.set(endpoint, { inFlight, at: now });
    return Math.floor(Math.log2(1 + inFlight));
  }
}
