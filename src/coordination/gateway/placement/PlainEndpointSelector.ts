import { endpointStartOf, type EndpointRecord } from '../../../state/gateway/index.ts';
import type { EndpointLimits } from '../limits/EndpointLimits.ts';
import type { PlainServiceBalancer } from './PlainServiceBalancer.ts';

/** How a request of a plain service gets its endpoint. */
export type PlainSelection =
  | { readonly _tag: 'direct'; readonly endpoint: EndpointRecord }
  /**
   * The scheduler chooses among the endpoints that state a limit. A request that other endpoints can
   * take as well isn't queued.
   */
  | { readonly _tag: 'scheduled'; readonly immediate: boolean }
  | { readonly _tag: 'none' };

/** Costs count as equal up to this ratio, since they follow from moving averages. */
const EQUAL_COST_FACTOR = 1.1;

/** The endpoints among which a request chooses. */
export interface PlainCandidates {
  readonly service: string;
  /** All that are ready. */
  readonly records: readonly EndpointRecord[];
  /** Ids of the endpoints that it was sent to before. */
  readonly avoid: readonly string[];
  /** A random number in [0, 1), which breaks ties. */
  readonly fraction: number;
}

/**
 * Selects endpoints of plain services. A gateway chooses by itself, except among endpoints that state a
 * limit to the requests of all gateways: these only the scheduler can count.
 */
export class PlainEndpointSelector {
  readonly #balancer: PlainServiceBalancer;

  readonly #limits: EndpointLimits;

  /** When the scheduler may have a slot again at the limited endpoints of a service, in ms. */
  readonly #retryAt = new Map<string, number>();

  constructor(balancer: PlainServiceBalancer, limits: EndpointLimits) {
    this.#balancer = balancer;
    this.#limits = limits;
  }

  /**
   * Selects how a request gets its endpoint.
   *
   * @param candidates - the endpoints to choose from
   * @param now - present time in ms, monotonic
   * @returns the selection
   */
  select(candidates: PlainCandidates, now: number): PlainSelection {
    const { service, records, avoid, fraction } = candidates;
    if (this.#limits.isEmpty) return this.#selectDirectly(candidates, now);
    const limited = records.filter((record) => this.#isLimited(record, now));
    const isAskable = limited.some(({ id }) => !avoid.includes(id));
    const isDue = now >= (this.#retryAt.get(service) ?? Number.NEGATIVE_INFINITY);
    const unlimited = this.selectUnlimited(candidates, now);
    if (unlimited === undefined)
      return isAskable ? { _tag: 'scheduled', immediate: false } : { _tag: 'none' };
    if (!isAskable || !isDue) return { _tag: 'direct', endpoint: unlimited };
    const best = this.#balancer.pick(records, avoid, fraction, now) ?? unlimited;
    return this.#isLimited(best, now)
      ? { _tag: 'scheduled', immediate: true }
      : { _tag: 'direct', endpoint: best };
  }

  /** Selects an endpoint that states no limit; undefined if none is reachable. */
  selectUnlimited(
    { records, avoid, fraction }: PlainCandidates,
    now: number,
  ): EndpointRecord | undefined {
    const unlimited = records.filter((record) => !this.#isLimited(record, now));
    return this.#balancer.pick(unlimited, avoid, fraction, now);
  }

  /**
   * Selects the endpoint of a second copy: none that is cold or states a limit, and one in another failure domain if it
   * is about as good.
   *
   * @param candidates - the endpoints to choose from
   * @param first - the endpoint that has the first copy
   * @param now - present time in ms, monotonic
   * @returns the selection
   */
  selectHedge(candidates: PlainCandidates, first: EndpointRecord, now: number): PlainSelection {
    const { records, avoid, fraction } = candidates;
    const usable = records.filter(
      (record) =>
        record.id !== first.id &&
        record.coldMs <= 0 &&
        !this.#limits.statesLimit(endpointStartOf(record), now),
    );
    const best = this.#balancer.pick(usable, avoid, fraction, now);
    if (best === undefined) return { _tag: 'none' };
    // Only the scheduler counts the requests to endpoints that may turn cold.
    if (this.#isLimited(best, now)) return { _tag: 'scheduled', immediate: true };
    const elsewhere = usable.filter(({ failureDomain }) => failureDomain !== first.failureDomain);
    const other = this.#balancer.pick(elsewhere, avoid, fraction, now);
    const isAsGood =
      other !== undefined &&
      this.#balancer.costOf(other) <= EQUAL_COST_FACTOR * this.#balancer.costOf(best);
    return { _tag: 'direct', endpoint: isAsGood ? other : best };
  }

  /**
   * Records that the scheduler had no slot at the limited endpoints of a service.
   *
   * @param service - the service
   * @param retryAfterMs - time until it may have one, in ms
   * @param now - present time in ms, monotonic
   */
  recordRefusal(service: string, retryAfterMs: number, now: number): void {
    this.#retryAt.set(service, now + retryAfterMs);
  }

  #selectDirectly({ records, avoid, fraction }: PlainCandidates, now: number): PlainSelection {
    const endpoint = this.#balancer.pick(records, avoid, fraction, now);
    return endpoint === undefined ? { _tag: 'none' } : { _tag: 'direct', endpoint };
  }

  #isLimited(record: EndpointRecord, now: number): boolean {
    return this.#limits.isLimited(endpointStartOf(record), now);
  }
}
