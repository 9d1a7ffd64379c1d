const INITIAL_BACKOFF_MS = 250;
const MAXIMUM_BACKOFF_MS = 8_000;
const FAILURE_RATIO_SMOOTHING = 0.15;
const FAILURE_RATIO_LIMIT = 0.5;
/** Multiple of its baseline slowdown that an endpoint must exceed to be ejected as a straggler. */
const BASELINE_SLOWDOWN_LIMIT = 2.5;
/** Multiple of the pool's median slowdown that a straggler must exceed as well. */
const POOL_SLOWDOWN_LIMIT = 3;
const BASELINE_SMOOTHING = 0.02;

/**
 * Whether an endpoint accepts any request (`open`), a single probe, or none (`closed`). This is not
 * the state of a circuit breaker, where `open` means that none pass.
 */
export type EndpointAvailability = 'open' | 'probe' | 'closed';

/**
 * Outlier detection for one endpoint. An endpoint that refuses connections, fails too often or
 * becomes far slower is ejected with exponential back-off, and receives single requests as probes
 * meanwhile. A completed call ends an ejection for connect errors or failures; an ejection for
 * slowness ends only when the speed has recovered.
 */
export class EndpointHealth {
  #ejectionReason: 'connect' | 'failures' | 'straggler' | undefined;

  #backoffMs = INITIAL_BACKOFF_MS;

  #nextProbeAt = 0;

  #failureRatio = 0;

  /** Moving average of the slowdown while the endpoint isn't a straggler. */
  #baselineSlowdown: number | undefined;

  /** @returns why the endpoint is ejected, or undefined if it isn't */
  get ejectionReason(): string | undefined {
    return this.#ejectionReason;
  }

  /** @returns moving average of the share of failed calls, 0 to 1 */
  get failureRatio(): number {
    return this.#failureRatio;
  }

  /**
   * Tells whether the endpoint may receive a request.
   *
   * @param running - number of requests that run at the endpoint
   * @param now - present time in ms
   * @returns `probe` if the endpoint is ejected but due for a single request
   */
  availability(running: number, now: number): EndpointAvailability {
    if (this.#ejectionReason === undefined) return 'open';
    return running === 0 && now >= this.#nextProbeAt ? 'probe' : 'closed';
  }

  /**
   * Records that a probe was sent, and postpones the next one by the back-off in case this one gets
   * no answer.
   *
   * @param now - present time in ms
   */
  recordProbe(now: number): void {
    this.#nextProbeAt = now + this.#backoffMs;
  }

  /**
   * Records a failed connection attempt and ejects the endpoint.
   *
   * @param now - present time in ms
   */
  recordConnectFailure(now: number): void {
    this.#eject('connect', now);
  }

  /**
   * Records a call that broke off or returned an error. The endpoint is ejected if it fails clearly
   * more often than the others.
   *
   * @param othersFailureRatio - highest failure ratio of the pool's other endpoints, 0 to 1
   * @param now - present time in ms
   */
  recordFailure(othersFailureRatio: number, now: number): void {
    this.#failureRatio += (1 - this.#failureRatio) * FAILURE_RATIO_SMOOTHING;
    const isWorse =
      this.#failureRatio > FAILURE_RATIO_LIMIT && othersFailureRatio < this.#failureRatio / 2;
    if (isWorse || this.#ejectionReason !== undefined)
      this.#eject(this.#ejectionReason ?? 'failures', now);
  }

  /** Records a completed call. */
  recordSuccess(): void {
    this.#failureRatio -= this.#failureRatio * FAILURE_RATIO_SMOOTHING;
    if (this.#ejectionReason === 'straggler') return;
    this.#ejectionReason = undefined;
    this.#backoffMs = INITIAL_BACKOFF_MS;
  }

  /**
   * Compares the endpoint's speed with its baseline and with the pool; ejects or restores it.
   *
   * @param slowdown - how many times slower than configured, overdue work included
   * @param poolSlowdown - median slowdown of the pool's endpoints
   * @param now - present time in ms
   */
  updateSlowdown(slowdown: number, poolSlowdown: number, now: number): void {
    const baseline = this.#baselineSlowdown ?? slowdown;
    const isSlow =
      slowdown > BASELINE_SLOWDOWN_LIMIT * baseline &&
      slowdown > POOL_SLOWDOWN_LIMIT * poolSlowdown;
    if (isSlow && this.#ejectionReason === undefined) this.#eject('straggler', now);
    if (!isSlow && this.#ejectionReason === 'straggler') {
      this.#ejectionReason = undefined;
      this.#backoffMs = INITIAL_BACKOFF_MS;
    }
    if (!isSlow) this.#baselineSlowdown = baseline + (slowdown - baseline) * BASELINE_SMOOTHING;
  }

  #eject(reason: 'connect' | 'failures' | 'straggler', now: number): void {
    this.#ejectionReason = reason;
    this.#nextProbeAt = now + this.#backoffMs;
    this.#backoffMs = Math.min(MAXIMUM_BACKOFF_MS, this.#backoffMs * 2);
  }
}
