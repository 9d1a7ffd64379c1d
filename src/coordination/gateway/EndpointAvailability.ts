import type { PlacementResult } from '../../protocol/peer/GatewayMessages.ts';

/** Backoff after the first failed connection; doubles with each consecutive one. */
const INITIAL_UNREACHABLE_BACKOFF_MS = 400;
/** Backoff after the first refusal; doubles with each consecutive one. */
const INITIAL_REFUSAL_BACKOFF_MS = 50;
const MAXIMUM_REFUSAL_BACKOFF_MS = 400;
/** Unhealthy period at the failure threshold; doubles with each further failure. */
const INITIAL_UNHEALTHY_MS = 200;
/** Consecutive failures that are unlikely at an endpoint which fails only some requests. */
const UNHEALTHY_FAILURE_THRESHOLD = 4;
/** Longest backoff after failed connections, and longest unhealthy period. */
const MAXIMUM_BACKOFF_MS = 3_000;
/** Weight of the newest outcome in the moving average of failures. */
const FAILURE_RATE_SMOOTHING = 0.2;

/**
 * Reachability, health and failure rate of one endpoint, as observed from the outcomes of its
 * requests.
 */
export class EndpointAvailability {
  #failureRate = 0;

  #consecutiveUnreachable = 0;

  #consecutiveRefusals = 0;

  #consecutiveFailures = 0;

  #backoffUntil = Number.NEGATIVE_INFINITY;

  #unhealthyUntil = Number.NEGATIVE_INFINITY;

  /**
   * Records the outcome of a request. Requests that the gateway cancelled or never sent say nothing
   * about the endpoint and are ignored.
   *
   * @param outcome - how the request ended
   * @param now - current time, in ms
   * @returns the time in ms for which the endpoint now gets no requests; 0 if it may get some
   */
  recordOutcome(outcome: PlacementResult['outcome'], now: number): number {
    this.#applyOutcome(outcome, now);
    return Math.max(0, this.#backoffUntil - now);
  }

  #applyOutcome(outcome: PlacementResult['outcome'], now: number): void {
    switch (outcome) {
      case 'served':
        this.#recordResponse(0);
        this.#consecutiveFailures = 0;
        return;
      case 'failed':
        this.#recordResponse(1);
        this.#recordFailure(now);
        return;
      case 'unreachable':
        this.#recordUnreachable(now);
        return;
      case 'turnedAway':
        this.#recordRefusal(now);
        return;
      case 'cancelled':
      case 'unused':
        return;
      default:
        outcome satisfies never;
    }
  }

  /**
   * Whether the endpoint is healthy. It is unhealthy for a time after several consecutive failures,
   * and is then used only if no healthy endpoint is reachable.
   *
   * @param now - current time, in ms
   * @returns false during the unhealthy period
   */
  isHealthy(now: number): boolean {
    return now >= this.#unhealthyUntil;
  }

  /**
   * Whether requests may be sent to the endpoint.
   *
   * @param now - current time, in ms
   * @returns false during the backoff after a refusal or a failed connection
   */
  isReachable(now: number): boolean {
    return now >= this.#backoffUntil;
  }

  /** Moving average of failed requests, from 0 to 1. */
  get failureRate(): number {
    return this.#failureRate;
  }

  /** Updates the failure rate, and resets the backoffs, since the endpoint handled a request. */
  #recordResponse(failure: 0 | 1): void {
    this.#failureRate += FAILURE_RATE_SMOOTHING * (failure - this.#failureRate);
    this.#consecutiveUnreachable = 0;
    this.#consecutiveRefusals = 0;
  }

  /**
   * An endpoint that fails every request always has free slots and would attract all traffic, so it
   * is used rarely until it serves a request.
   */
  #recordFailure(now: number): void {
    this.#consecutiveFailures += 1;
    const failuresOverThreshold = this.#consecutiveFailures - UNHEALTHY_FAILURE_THRESHOLD;
    if (failuresOverThreshold < 0) return;
    this.#unhealthyUntil =
      now + Math.min(MAXIMUM_BACKOFF_MS, INITIAL_UNHEALTHY_MS * 2 ** failuresOverThreshold);
  }

  /**
   * An endpoint that refuses requests immediately always has free slots and would attract all
   * traffic.
   */
  #recordRefusal(now: number): void {
    const backoffMs = Math.min(
      MAXIMUM_REFUSAL_BACKOFF_MS,
      INITIAL_REFUSAL_BACKOFF_MS * 2 ** this.#consecutiveRefusals,
    );
    this.#consecutiveRefusals += 1;
    this.#backoffUntil = now + backoffMs;
  }

  #recordUnreachable(now: number): void {
    this.#failureRate += FAILURE_RATE_SMOOTHING * (1 - this.#failureRate);
    const backoffMs = Math.min(
      MAXIMUM_BACKOFF_MS,
      INITIAL_UNREACHABLE_BACKOFF_MS * 2 ** this.#consecutiveUnreachable,
    );
    this.#consecutiveUnreachable += 1;
    this.#backoffUntil = now + backoffMs;
  }
}
