import type { EndpointRecord } from '../../../state/gateway/index.ts';
import type { PlacementResult } from '../../../protocol/peer/GatewayMessages.ts';
import { EndpointAvailability } from './EndpointAvailability.ts';
import { preferHealthy } from './preferHealthy.ts';

interface EndpointLoad {
  /** Requests that this process has sent and that haven't ended. */
  inFlight: number;
  /** Moving average of the response time, in ms. */
  latencyMs: number;
  availability: EndpointAvailability;
  bornAt: number;
}

/** Stands for this process, whose requests alone are recorded. */
const OWN = 'own';
/** Assumed response time until the first answer. */
const INITIAL_LATENCY_MS = 20;
/** Weight of the newest response time in the moving average. */
const LATENCY_SMOOTHING = 0.15;
/**
 * Upper bound of the failure rate in the expected cost, which keeps the cost finite; an endpoint that
 * fails every request is still chosen last.
 */
const MAXIMUM_COUNTED_FAILURE_RATE = 0.95;

/**
 * Balances requests over the endpoints of plain services by load, latency and failure rate in this
 * process.
 */
export class PlainServiceBalancer {
  readonly #loads = new Map<string, EndpointLoad>();

  /**
   * Picks the endpoint that is expected to answer soonest.
   *
   * @param records - the endpoints that may get the request
   * @param avoid - ids of the endpoints that it was sent to before
   * @param fraction - a random number in [0, 1), which breaks ties
   * @param now - current time, in ms
   * @returns the endpoint, or undefined if none is reachable
   */
  pick(
    records: readonly EndpointRecord[],
    avoid: readonly string[],
    fraction: number,
    now: number,
  ): EndpointRecord | undefined {
    const usable = preferHealthy(
      records.filter(({ id }) => !avoid.includes(id)),
      (record) => this.#loadOf(record).availability,
      now,
      (availability) => availability.isReachableFrom(OWN, now),
    );
    const start = Math.floor(fraction * usable.length);
    const rotated = [...usable.slice(start), ...usable.slice(0, start)];
    return rotated.reduce<EndpointRecord | undefined>(
      (best, record) =>
        best === undefined || this.costOf(record) < this.costOf(best) ? record : best,
      undefined,
    );
  }

  /** Counts a request that is sent to an endpoint. */
  recordStart(record: EndpointRecord): void {
    this.#loadOf(record).inFlight += 1;
  }

  /**
   * Records the end of a request.
   *
   * @param record - the endpoint that it was sent to
   * @param outcome - how the request ended
   * @param totalMs - response time, in ms; counts only for served and failed requests
   * @param now - current time, in ms
   */
  recordEnd(
    record: EndpointRecord,
    outcome: PlacementResult['outcome'],
    totalMs: number,
    now: number,
  ): void {
    const load = this.#loadOf(record);
    load.inFlight = Math.max(0, load.inFlight - 1);
    load.availability.recordOutcome(outcome, now, OWN);
    if (outcome !== 'served' && outcome !== 'failed') return;
    load.latencyMs += LATENCY_SMOOTHING * (totalMs - load.latencyMs);
  }

  /**
   * Records that a request was cancelled before its answer because a second copy was answered first. Otherwise a slow
   * endpoint whose requests are answered by others would keep the response time that it had before.
   *
   * @param record - the endpoint that it was sent to
   * @param atLeastMs - time that the request had taken, in ms
   */
  recordSlow(record: EndpointRecord, atLeastMs: number): void {
    const load = this.#loadOf(record);
    load.latencyMs += LATENCY_SMOOTHING * Math.max(0, atLeastMs - load.latencyMs);
  }

  /** Removes the state of all endpoints except the given ones. */
  retain(ids: ReadonlySet<string>): void {
    [...this.#loads.keys()].filter((id) => !ids.has(id)).forEach((id) => this.#loads.delete(id));
  }

  /** Returns the expected time of a request at an endpoint in ms, weighted by the endpoint's failures. */
  costOf(record: EndpointRecord): number {
    const { inFlight, latencyMs, availability } = this.#loadOf(record);
    const slots = Math.max(1, record.slots);
    const successRate = 1 - Math.min(MAXIMUM_COUNTED_FAILURE_RATE, availability.failureRate);
    return (latencyMs * (1 + inFlight / slots) + inFlight) / successRate;
  }

  #loadOf(record: EndpointRecord): EndpointLoad {
    const existing = this.#loads.get(record.id);
    if (existing !== undefined && existing.bornAt === record.bornAt) return existing;
    const load: EndpointLoad = {
      inFlight: 0,
      latencyMs: INITIAL_LATENCY_MS,
      availability: new EndpointAvailability(),
      bornAt: record.bornAt,
    };
    this.#loads.set(record.id, load);
    return load;
  }
}
