const FIRST_BACKOFF_MS = 250;
const MAXIMUM_BACKOFF_MS = 8_000;
const FAILURE_GAIN = 0.15;
const FAILURE_LIMIT = 0.5;
/** Slower than its own past by this factor, and than the pool by the next, an endpoint is passed over. */
const OWN_SLOWDOWN_LIMIT = 2.5;
const POOL_SLOWDOWN_LIMIT = 3;
const USUAL_GAIN = 0.02;

/** How much work an endpoint may be given. */
export type Admittance = 'open' | 'probe' | 'closed';

/**
 * Whether an endpoint is fit for work. One that refuses connections, fails, or has become far slower
 * is left aside with growing back-off and gets single requests as probes until one goes well.
 */
export class EndpointHealth {
  #reason: 'connect' | 'failures' | 'straggler' | undefined;

  #backoffMs = FIRST_BACKOFF_MS;

  #probeAt = 0;

  #failureRatio = 0;

  #usualSlowdown: number | undefined;

  /** @returns why the endpoint is aside, or undefined while it is not */
  get ejectionReason(): string | undefined {
    return this.#reason;
  }

  /** @returns recent share of calls that failed, 0 to 1 */
  get failureRatio(): number {
    return this.#failureRatio;
  }

  /**
   * Tells what the endpoint may be given.
   *
   * @param running - requests that run there
   * @param now - present time in ms
   * @returns `probe` where one request may try it
   */
  admittance(running: number, now: number): Admittance {
    if (this.#reason === undefined) return 'open';
    return running === 0 && now >= this.#probeAt ? 'probe' : 'closed';
  }

  /** Notes a probe on its way; the next one waits, in case this one gives no answer. */
  probed(now: number): void {
    this.#probeAt = now + this.#backoffMs;
  }

  /** Notes that no connection was made. */
  connectFailed(now: number): void {
    this.#setAside('connect', now);
  }

  /** Notes that a call broke off or answered with a fault. */
  recordFailure(othersRatio: number, now: number): void {
    this.#failureRatio += (1 - this.#failureRatio) * FAILURE_GAIN;
    const isWorse = this.#failureRatio > FAILURE_LIMIT && othersRatio < this.#failureRatio / 2;
    if (isWorse || this.#reason !== undefined) this.#setAside(this.#reason ?? 'failures', now);
  }

  /** Notes a whole answer. */
  recordSuccess(): void {
    this.#failureRatio -= this.#failureRatio * FAILURE_GAIN;
    if (this.#reason === 'straggler') return;
    this.#reason = undefined;
    this.#backoffMs = FIRST_BACKOFF_MS;
  }

  /**
   * Compares the endpoint's speed with its past and its peers.
   *
   * @param slowdown - times slower than configured, overdue work counted
   * @param poolSlowdown - the same for the middle one of the pool's endpoints
   * @param now - present time in ms
   */
  judgeSpeed(slowdown: number, poolSlowdown: number, now: number): void {
    const usual = this.#usualSlowdown ?? slowdown;
    const isSlow =
      slowdown > OWN_SLOWDOWN_LIMIT * usual && slowdown > POOL_SLOWDOWN_LIMIT * poolSlowdown;
    if (isSlow && this.#reason === undefined) this.#setAside('straggler', now);
    if (!isSlow && this.#reason === 'straggler') {
      this.#reason = undefined;
      this.#backoffMs = FIRST_BACKOFF_MS;
    }
    if (!isSlow) this.#usualSlowdown = usual + (slowdown - usual) * USUAL_GAIN;
  }

  #setAside(reason: 'connect' | 'failures' | 'straggler', now: number): void {
    this.#reason = reason;
    this.#probeAt = now + this.#backoffMs;
    this.#backoffMs = Math.min(MAXIMUM_BACKOFF_MS, this.#backoffMs * 2);
  }
}
