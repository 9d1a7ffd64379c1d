import type { PlacementResult } from '../../../protocol/peer/GatewayMessages.ts';

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
/** Gateways without a connection that it takes before an endpoint counts as unreachable for all. */
const UNREACHABLE_WITNESSES = 2;

/** Failed connections of one gateway to an endpoint. */
interface UnreachablePeriod {
  readonly consecutive: number;
  /** When the last of them failed, in ms. */
  readonly at: number;
  readonly until: number;
}

/**
 * Reachability, health and failure rate of one endpoint, as observed from the outcomes of its requests. A
 * gateway that gets no connection may itself be cut off, so that its failures count for its own requests
 * only, until another gateway has the same experience and none has had an answer since.
 */
export class EndpointAvailability {
  #failureRate = 0;

  #consecutiveRefusals = 0;

  #consecutiveFailures = 0;

  #backoffUntil = Number.NEGATIVE_INFINITY;

  /** By the gateway whose connections failed. */
  readonly #unreachableFrom = new Map<string, UnreachablePeriod>();

  /** When any gateway last had an answer, in ms. */
  #answeredAt = Number.NEGATIVE_INFINITY;

  #unhealthyUntil = Number.NEGATIVE_INFINITY;

  /**
   * Records the outcome of a request. Requests that the gateway cancelled or never sent say nothing
   * about the endpoint and are ignored.
   *
   * @param outcome - how the request ended
   * @param now - current time, in ms
   * @param gateway - incarnation of the gateway that sent the request
   * @returns the time in ms for which the gateway now sends the endpoint no requests; 0 if it may
   */
  recordOutcome(outcome: PlacementResult['outcome'], now: number, gateway = ''): number {
    this.#applyOutcome(outcome, now, gateway);
    const unreachableUntil = this.#unreachableFrom.get(gateway)?.until ?? 0;
    return Math.max(0, this.#backoffUntil - now, unreachableUntil - now);
  }

  #applyOutcome(outcome: PlacementResult['outcome'], now: number, gateway: string): void {
    switch (outcome) {
      case 'served':
        this.#recordResponse(0, now);
        this.#consecutiveFailures = 0;
        return;
      case 'failed':
        this.#recordResponse(1, now);
        this.#recordFailure(now);
        return;
      case 'unreachable':
        this.#recordUnreachable(now, gateway);
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
   * Whether some gateway may send requests to the endpoint.
   *
   * @param now - current time, in ms
   * @returns false during the backoff after a refusal, and while several gateways get no connection
   */
  isReachable(now: number): boolean {
    if (now < this.#backoffUntil) return false;
    if (this.#unreachableFrom.size < UNREACHABLE_WITNESSES) return true;
    const witnesses = [...this.#unreachableFrom.values()].filter(
      ({ at, until }) => now < until && at > this.#answeredAt,
    );
    return witnesses.length < UNREACHABLE_WITNESSES;
  }

  /**
   * Whether a gateway may send requests to the endpoint.
   *
   * @param gateway - the gateway's incarnation
   * @param now - current time, in ms
   * @returns false also during the backoff after a failed connection of this gateway
   */
  isReachableFrom(gateway: string, now: number): boolean {
    const unreachableUntil = this.#unreachableFrom.get(gateway)?.until;
    return (unreachableUntil === undefined || now >= unreachableUntil) && this.isReachable(now);
  }

  /** Moving average of failed requests, from 0 to 1. */
  get failureRate(): number {
    return this.#failureRate;
  }

  /** Updates the failure rate, and resets the backoffs, since the endpoint handled a request. */
  #recordResponse(failure: 0 | 1, now: number): void {
    this.#failureRate += FAILURE_RATE_SMOOTHING * (failure - this.#failureRate);
    this.#consecutiveRefusals = 0;
    this.#answeredAt = now;
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
    this.#answeredAt = now;
    const backoffMs = Math.min(
      MAXIMUM_REFUSAL_BACKOFF_MS,
      INITIAL_REFUSAL_BACKOFF_MS * 2 ** this.#consecutiveRefusals,
    );
    this.#consecutiveRefusals += 1;
    this.#backoffUntil = now + backoffMs;
  }

  #recordUnreachable(now: number, gateway: string): void {
    this.#failureRate += FAILURE_RATE_SMOOTHING * (1 - this.#failureRate);
    const before = this.#unreachableFrom.get(gateway);
    const consecutive =
      before !== undefined && before.at > this.#answeredAt ? before.consecutive : 0;
    const backoffMs = Math.min(
      MAXIMUM_BACKOFF_MS,
      INITIAL_UNREACHABLE_BACKOFF_MS * 2 ** consecutive,
    );
    this.#unreachableFrom.forEach(({ until }, other) => {
      if (now - until > MAXIMUM_BACKOFF_MS) this.#unreachableFrom.delete(other);
    });
    this.#unreachableFrom.set(gateway, {
      consecutive: consecutive + 1,
      at: now,
      until: now + backoffMs,
    });
  }
}
