import {
  endpointStartOf,
  type EndpointRecord,
  type Service,
} from '../../../state/gateway/index.ts';
import { TokenBucket } from '../../limits/TokenBucket.ts';
import { deriveColdRates, type ColdRates, type RequestRate } from './deriveColdRates.ts';

/** Which part of the rates this process may use. */
export type ColdPart =
  /** It schedules for all, or for the given share of them. */
  | { readonly _tag: 'scheduled'; readonly share: number }
  /** It decides alone, for the endpoints that it owns. */
  | { readonly _tag: 'alone'; readonly isOwner: (endpointId: string, owners: number) => boolean };

/** Bounds that apply to all services with a cold rate. */
export interface ColdBounds {
  readonly coldOvershoot?: number;
  readonly coldSlack?: number;
}

interface ColdRules {
  readonly rates: ColdRates;
  readonly durationMs: number;
}

interface CappedEndpoint {
  readonly record: EndpointRecord;
  coldUntil: number;
  /** Store revision of what `coldUntil` follows from; older records say nothing new. */
  asOfRevision: number;
  /** What this process sends as the scheduler. */
  readonly scheduled: TokenBucket;
  /** What this process sends when it decides alone. */
  readonly alone: TokenBucket;
  /** Requests counted in `scheduled` since it was emptied, which may be taken back. */
  refundable: number;
}

/**
 * Time after the first configuration in which a process sends nothing. Until it has joined its peers, it takes itself
 * for the only one; joining takes some probe intervals of 250 ms.
 */
const SETTLING_MS = 1_000;
/** After this time the next scheduler is likely to decide about an endpoint that this process doesn't own. */
const UNOWNED_WAIT_MS = 1_000;

const scheduledRate = (
  { coldUntil }: CappedEndpoint,
  { rates }: ColdRules,
  now: number,
): RequestRate => (now < coldUntil ? rates.cold : rates.warm);

/**
 * Caps the requests to endpoints of services whose cold endpoints bear few of them. An endpoint may turn cold at any
 * moment without notice, so that it is capped also while it is warm.
 */
export class ColdStartCaps {
  readonly #rules = new Map<string, ColdRules>();

  /** By start of the endpoint. */
  readonly #endpoints = new Map<string, CappedEndpoint>();

  #part: ColdPart = { _tag: 'scheduled', share: 1 };

  #settledAt: number | undefined;

  /** Whether no service has a cold rate. */
  get isEmpty(): boolean {
    return this.#rules.size === 0;
  }

  /**
   * Replaces the services. A service is capped if it has a cold rate and the settings state the bound.
   *
   * @param services - services of the configuration in force
   * @param bounds - bounds of the settings
   * @param now - present time in ms, monotonic
   */
  setServices(services: readonly Service[], bounds: ColdBounds, now: number): void {
    this.#rules.clear();
    const { coldOvershoot, coldSlack } = bounds;
    if (coldOvershoot === undefined && coldSlack === undefined) return;
    services.forEach(({ name, coldStart }) => {
      if (coldStart === undefined || coldStart.requestsPerSecond <= 0) return;
      const { durationMs, requestsPerSecond } = coldStart;
      const bound = { requestsPerSecond, overshoot: coldOvershoot ?? 1, slack: coldSlack ?? 0 };
      this.#rules.set(name, { durationMs, rates: deriveColdRates(bound) });
    });
    this.#endpoints.forEach((endpoint) => this.#configureAlone(endpoint, now));
    if (this.#rules.size > 0) this.#settledAt ??= now + SETTLING_MS;
  }

  /** Sets which part of the rates this process may use from now on. */
  setPart(part: ColdPart): void {
    this.#part = part;
  }

  /**
   * Records what an endpoint's record says.
   *
   * @param record - the record
   * @param seen - its store revision, and whether the endpoint has registered during traffic
   * @param now - present time in ms, monotonic
   * @returns whether the endpoint is taken as cold from now on
   */
  observe(
    record: EndpointRecord,
    { revision, isNew }: { readonly revision: number; readonly isNew: boolean },
    now: number,
  ): boolean {
    const start = endpointStartOf(record);
    const known = this.#endpoints.get(start);
    if (known !== undefined && revision <= known.asOfRevision) return false;
    const startMs = isNew && known === undefined ? this.#durationMs(record) : 0;
    const coldUntil = now + Math.max(record.coldMs, startMs);
    const wasCold = this.isCold(start, now);
    if (known === undefined) this.#add(record, coldUntil, revision, now);
    else Object.assign(known, { coldUntil, asOfRevision: revision });
    return !wasCold && this.isCold(start, now);
  }

  /**
   * Takes all endpoints of a failure domain as cold, until a record that was written later says otherwise.
   *
   * @param failureDomain - the failure domain
   * @param revision - store revision of the event that made them cold
   * @param now - present time in ms, monotonic
   * @returns the number of capped endpoints concerned
   */
  takeDomainAsCold(failureDomain: string, revision: number, now: number): number {
    const concerned = [...this.#endpoints.values()].filter(
      (endpoint) => endpoint.record.failureDomain === failureDomain && this.#rulesOf(endpoint),
    );
    concerned
      .filter(({ asOfRevision }) => asOfRevision <= revision)
      .forEach((endpoint) => {
        const coldUntil = Math.max(endpoint.coldUntil, now + this.#durationMs(endpoint.record));
        Object.assign(endpoint, { coldUntil, asOfRevision: revision });
      });
    return concerned.length;
  }

  /** Forgets all starts of endpoints except the given ones. */
  retain(starts: ReadonlySet<string>): void {
    [...this.#endpoints.keys()]
      .filter((start) => !starts.has(start))
      .forEach((start) => this.#endpoints.delete(start));
  }

  /** Whether requests to a start of an endpoint are capped. */
  isCapped(start: string): boolean {
    return this.#find(start) !== undefined;
  }

  /** Whether a start of a capped endpoint is taken as cold. */
  isCold(start: string, now: number): boolean {
    const found = this.#find(start);
    return found !== undefined && now < found.endpoint.coldUntil;
  }

  /** Counts the capped endpoints that are taken as cold. */
  countCold(now: number): number {
    return [...this.#endpoints.keys()].filter((start) => this.isCold(start, now)).length;
  }

  /**
   * Returns the time until this process may send a request to an endpoint.
   *
   * @param start - one start of an endpoint
   * @param now - present time in ms, monotonic
   * @returns the time in ms; 0 if it may be sent now
   */
  msUntilAllowed(start: string, now: number): number {
    const found = this.#find(start);
    if (found === undefined) return 0;
    const bucket = this.#bucketOf(found, now);
    if (bucket === undefined) return UNOWNED_WAIT_MS;
    return Math.max((this.#settledAt ?? now) - now, bucket.msUntilLevel(1, now));
  }

  /** Counts a request that is sent to an endpoint. */
  consume(start: string, now: number): void {
    const found = this.#find(start);
    if (found === undefined) return;
    this.#bucketOf(found, now)?.consume(1, now);
    if (this.#part._tag === 'scheduled') found.endpoint.refundable += 1;
  }

  /**
   * Takes back a request that wasn't sent. A request that another scheduler counted, or this process before its bucket
   * was emptied, isn't taken back.
   */
  refund(start: string, now: number): void {
    const found = this.#find(start);
    if (found === undefined || this.#part._tag === 'alone' || found.endpoint.refundable === 0)
      return;
    found.endpoint.refundable -= 1;
    this.#bucketOf(found, now)?.refund(1, now);
  }

  /** Returns the requests a second that this process may send to an endpoint; infinite if it isn't capped. */
  rateOf(start: string, now: number): number {
    const found = this.#find(start);
    if (found === undefined) return Number.POSITIVE_INFINITY;
    const { endpoint, rules } = found;
    switch (this.#part._tag) {
      case 'scheduled':
        return this.#part.share * scheduledRate(endpoint, rules, now).perSecond;
      case 'alone':
        return this.#isOwned(endpoint, rules) ? rules.rates.alone.perSecond : 0;
      default:
        return this.#part satisfies never;
    }
  }

  /** Empties what this process may send as the scheduler, because another one may have sent until now. */
  reset(now: number): void {
    this.#endpoints.forEach((endpoint) => {
      endpoint.scheduled.consume(endpoint.scheduled.available(now), now);
      Object.assign(endpoint, { refundable: 0 });
    });
  }

  #add(record: EndpointRecord, coldUntil: number, asOfRevision: number, now: number): void {
    // Buckets are empty at first.
    const makeBucket = (): TokenBucket => new TokenBucket(0, 0, now);
    const buckets = { scheduled: makeBucket(), alone: makeBucket(), refundable: 0 };
    const endpoint = { record, coldUntil, asOfRevision, ...buckets };
    this.#endpoints.set(endpointStartOf(record), endpoint);
    this.#configureAlone(endpoint, now);
  }

  /** The bucket of a process that decides alone refills at all times, as no other process uses its part. */
  #configureAlone(endpoint: CappedEndpoint, now: number): void {
    const alone = this.#rulesOf(endpoint)?.rates.alone;
    if (alone !== undefined) endpoint.alone.reconfigure(alone.perSecond, alone.burst, now);
  }

  #find(
    start: string,
  ): { readonly endpoint: CappedEndpoint; readonly rules: ColdRules } | undefined {
    if (this.isEmpty) return undefined;
    const endpoint = this.#endpoints.get(start);
    const rules = endpoint && this.#rulesOf(endpoint);
    return endpoint && rules && { endpoint, rules };
  }

  #rulesOf({ record }: CappedEndpoint): ColdRules | undefined {
    return this.#rules.get(record.service);
  }

  #durationMs({ service }: EndpointRecord): number {
    return this.#rules.get(service)?.durationMs ?? 0;
  }

  #isOwned({ record }: CappedEndpoint, { rates }: ColdRules): boolean {
    if (this.#part._tag === 'scheduled' || rates.owners === 0) return false;
    return this.#part.isOwner(record.id, rates.owners);
  }

  /** Returns the bucket that this process uses now; undefined if it may not send to the endpoint. */
  #bucketOf(
    { endpoint, rules }: { readonly endpoint: CappedEndpoint; readonly rules: ColdRules },
    now: number,
  ): TokenBucket | undefined {
    switch (this.#part._tag) {
      case 'scheduled': {
        const { share } = this.#part;
        const { perSecond, burst } = scheduledRate(endpoint, rules, now);
        endpoint.scheduled.reconfigure(share * perSecond, Math.max(1, share * burst), now);
        return endpoint.scheduled;
      }
      case 'alone': {
        if (!this.#isOwned(endpoint, rules)) return undefined;
        return endpoint.alone;
      }
      default:
        return this.#part satisfies never;
    }
  }
}
