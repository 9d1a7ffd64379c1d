/** What one answer said about the rate of requests that its endpoint accepts. */
export interface LimitObservation {
  /** One start of an endpoint. */
  readonly endpoint: string;
  /** Requests a second from all gateways together; undefined if the answer stated no limit. */
  readonly requestsPerSecond: number | undefined;
  /** When the request was sent, in ms, monotonic. */
  readonly sentAt: number;
  /** When the head of the answer arrived, in ms, monotonic. */
  readonly answeredAt: number;
}

interface StatedRate {
  readonly requestsPerSecond: number;
  readonly answeredAt: number;
}

/** Differences between the times that two gateways give to what an endpoint did. */
const CLOCK_MARGIN_MS = 100;
/** A limit that no answer has confirmed for this time is forgotten. */
const RETENTION_MS = 600_000;
const MAXIMUM_ENDPOINTS = 4_096;

/** The rates of requests that endpoints state they accept from all gateways together. */
export class EndpointLimits {
  readonly #rates = new Map<string, StatedRate>();

  /** Number of endpoints that state a limit. */
  get limitedCount(): number {
    return this.#rates.size;
  }

  /**
   * Records what an answer said. Answers may arrive in another order than they were given: one without
   * a limit ends the limit only if its request was sent after the limit was known.
   *
   * @param observation - what the answer said
   * @returns whether the limit of the endpoint changed
   */
  observe({ endpoint, requestsPerSecond, sentAt, answeredAt }: LimitObservation): boolean {
    const known = this.#rates.get(endpoint);
    if (requestsPerSecond === undefined) {
      if (known === undefined || sentAt <= known.answeredAt + CLOCK_MARGIN_MS) return false;
      return this.#rates.delete(endpoint);
    }
    if (known !== undefined && answeredAt <= known.answeredAt) return false;
    this.#rates.delete(endpoint);
    this.#rates.set(endpoint, { requestsPerSecond, answeredAt });
    const [oldest] = this.#rates.keys();
    if (this.#rates.size > MAXIMUM_ENDPOINTS && oldest !== undefined) this.#rates.delete(oldest);
    return known?.requestsPerSecond !== requestsPerSecond;
  }

  /** Forgets limits that no answer has confirmed for a long time. */
  evict(now: number): void {
    this.#rates.forEach(({ answeredAt }, endpoint) => {
      if (now - answeredAt > RETENTION_MS) this.#rates.delete(endpoint);
    });
  }
}
