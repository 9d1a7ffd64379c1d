import type { EndpointRecord } from '../../state/gateway/index.ts';
import type { PlacementResult } from '../../protocol/peer/Placement.ts';
import { EndpointCondition } from './EndpointCondition.ts';
import { preferTrusted } from './preferTrusted.ts';

interface PlainEndpoint {
  inFlight: number;
  /** Smoothed time to the answer, in ms. */
  latencyMs: number;
  condition: EndpointCondition;
  bornAt: number;
}

const FIRST_LATENCY_MS = 20;
const LATENCY_LEARNING_RATE = 0.15;
/** Weight of failures against latency: one that fails everything is the last choice. */
const WORST_FAILURE_RATE = 0.95;

/** Load and health of the endpoints of plain services, as one process sees them. */
export class PlainEndpoints {
  readonly #endpoints = new Map<string, PlainEndpoint>();

  /**
   * Picks the endpoint that is expected to answer soonest.
   *
   * @param records - endpoints that may get the request
   * @param avoid - ids of those that it was sent to before
   * @param fraction - a random number from 0 up to 1, which decides between equals
   * @param now - present time in ms
   * @returns the endpoint, or undefined where none can be reached
   */
  pick(
    records: readonly EndpointRecord[],
    avoid: readonly string[],
    fraction: number,
    now: number,
  ): EndpointRecord | undefined {
    const usable = preferTrusted(
      records.filter(({ id }) => !avoid.includes(id)),
      (record) => this.#of(record).condition,
      now,
    );
    const start = Math.floor(fraction * usable.length);
    const turned = [...usable.slice(start), ...usable.slice(0, start)];
    return turned.reduce<EndpointRecord | undefined>(
      (best, record) =>
        best === undefined || this.#cost(record) < this.#cost(best) ? record : best,
      undefined,
    );
  }

  begin(record: EndpointRecord): void {
    this.#of(record).inFlight += 1;
  }

  /** Notes how a request ended, and how long it took. */
  recordEnd(
    record: EndpointRecord,
    outcome: PlacementResult['outcome'],
    totalMs: number,
    now: number,
  ): void {
    const endpoint = this.#of(record);
    endpoint.inFlight = Math.max(0, endpoint.inFlight - 1);
    endpoint.condition.learn(outcome, now);
    if (outcome !== 'served' && outcome !== 'failed') return;
    endpoint.latencyMs += LATENCY_LEARNING_RATE * (totalMs - endpoint.latencyMs);
  }

  /** Forgets endpoints that are gone. */
  keep(ids: ReadonlySet<string>): void {
    [...this.#endpoints.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => this.#endpoints.delete(id));
  }

  #cost(record: EndpointRecord): number {
    const { inFlight, latencyMs, condition } = this.#of(record);
    const slots = Math.max(1, record.slots);
    const served = 1 - Math.min(WORST_FAILURE_RATE, condition.failureRate);
    return (latencyMs * (1 + inFlight / slots) + inFlight) / served;
  }

  #of(record: EndpointRecord): PlainEndpoint {
    const held = this.#endpoints.get(record.id);
    if (held !== undefined && held.bornAt === record.bornAt) return held;
    const endpoint: PlainEndpoint = {
      inFlight: 0,
      latencyMs: FIRST_LATENCY_MS,
      condition: new EndpointCondition(),
      bornAt: record.bornAt,
    };
    this.#endpoints.set(record.id, endpoint);
    return endpoint;
  }
}
