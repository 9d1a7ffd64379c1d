const INITIAL_BACKOFF_MS = 250;
const MAXIMUM_BACKOFF_MS = 8_000;
const FAILURE_RATIO_SMOOTHING = 0.15;
const FAILURE_RATIO_LIMIT = 0.5;
/** Slower than its own past by this factor, and than the pool by the next, an endpoint is passed over. */
const BASELINE_SLOWDOWN_LIMIT = 2.5;
const POOL_SLOWDOWN_LIMIT = 3;
const BASELINE_SMOOTHING = 0.02;

/** How much work an endpoint may be given. */
export type EndpointAvailability = 'open' | 'probe' | 'closed';

/**
 * Whether an endpoint is fit for work. One that refuses connections, fails, or has become far slower
 * is left aside with growing back-off and gets single requests as probes until one goes well.
 */
export class EndpointHealth {
  #ejectionReason: 'connect' | 'failures' | 'straggler' | undefined;

  #backoffMs = INITIAL_BACKOFF_MS;

  #nextProbeAt = 0;

  #failureRatio = 0;

  #baselineSlowdown: number | undefined;

  /** @returns why the endpoint is aside, or undefined while it is not */
  get ejectionReason(): string | undefined {
    return this.#ejectionReason;
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
  availability(running: number, now: number): EndpointAvailability {
    if (this.#ejectionReason === undefined) return 'open';
    return running === 0 && now >= this.#nextProbeAt ? 'probe' : 'closed';
  }

  /** Notes a probe on its way; the next one waits, in case this one gives no answer. */
  recordProbe(now: number): void {
    this.#nextProbeAt = now + this.#backoffMs;
  }

  /** Notes that no connection was made. */
  recordConnectFailure(now: number): void {
    this.#eject('connect', now);
  }

  /** Notes that a call broke off or answered with a fault. */
  recordFailure(othersRatio: number, now: number): void {
    this.#failureRatio += (1 - this.#failureRatio) * FAILURE_RATIO_SMOOTHING;
    const isWorse = this.#failureRatio > FAILURE_RATIO_LIMIT && othersRatio < this.#failureRatio / 2;
    if (isWorse || this.#ejectionReason !== undefined) this.#eject(this.#ejectionReason ?? 'failures', now);
  }

  /** Notes a whole answer. */
  recordSuccess(): void {
    this.#failureRatio -= this.#failureRatio * FAILURE_RATIO_SMOOTHING;
    if (this.#ejectionReason === 'straggler') return;
    this.#ejectionReason = undefined;
    this.#backoffMs = INITIAL_BACKOFF_MS;
  }

  /**
   * Compares the endpoint's speed with its past and its peers.
   *
   * @param slowdown - times slower than configured, overdue work counted
   * @param poolSlowdown - the same for the middle one of the pool's endpoints
   * @param now - present time in ms
   */
  updateSlowdown(slowdown: number, poolSlowdown: number, now: number): void {
    const usual = this.#baselineSlowdown ?? slowdown;
    const isSlow =
      slowdown > BASELINE_SLOWDOWN_LIMIT * usual && slowdown > POOL_SLOWDOWN_LIMIT * poolSlowdown;
    if (isSlow && this.#ejectionReason === undefined) this.#eject('straggler', now);
    if (!isSlow && this.#ejectionReason === 'straggler') {
      this.#ejectionReason = undefined;
      this.#backoffMs = INITIAL_BACKOFF_MS;
    }
    if (!isSlow) this.#baselineSlowdown = usual + (slowdown - usual) * BASELINE_SMOOTHING;
  }

  #eject(reason: 'connect' | 'failures' | 'straggler', now: number): void {
    this.#ejectionReason = reason;
    this.#nextProbeAt = now + this.#backoffMs;
    this.#backoffMs = Math.min(MAXIMUM_BACKOFF_MS, this.#backoffMs * 2);
  }
}
