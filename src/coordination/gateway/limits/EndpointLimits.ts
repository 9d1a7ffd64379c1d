import { TokenBucket } from '../../limits/TokenBucket.ts';
import { ColdStartCaps } from './ColdStartCaps.ts';
import { RejectionGuard } from './RejectionGuard.ts';

/** What one answer said about the requests that its endpoint bears. */
export interface LimitObservation {
  /** One start of an endpoint. */
  readonly endpoint: string;
  /** Requests a second from all gateways together; undefined if the answer stated no limit. */
  readonly requestsPerSecond: number | undefined;
  /** Rejections a second that it bears from all gateways together; undefined if the answer stated none. */
  readonly rejectionsPerSecond?: number | undefined;
  /** When the request was sent, in ms, monotonic. */
  readonly sentAt: number;
  /** When the head of the answer arrived, in ms, monotonic. */
  readonly answeredAt: number;
}

interface EndpointLimit {
  /** The newest observation. */
  observation: LimitObservation;
  /** The limit that was stated last, in requests a second; infinite if none was. */
  requestsPerSecond: number;
  readonly bucket: TokenBucket;
  readonly guard: RejectionGuard;
}

const MS_PER_SECOND = 1_000;
/** Differences between the times that two gateways give to what an endpoint did. */
const CLOCK_MARGIN_MS = 100;
/** An endpoint that states less, or 0, still gets a request now and then, which shows when its limit ends. */
const MINIMUM_RATE = 0.2;
/** Requests that may be sent at once: one, and those of a short time without any. */
const BASE_BURST = 1;
const BURST_MS = 500;
/** After its end a limit doubles at this interval, so that the endpoint isn't flooded, and is then lifted. */
const RAMP_DOUBLING_MS = 400;
const RAMP_MS = 2_000;
/** An ended limit is kept, so that each gateway hears of its end. */
const ENDED_RETENTION_MS = 60_000;
/** A limit that no answer has confirmed for this time is forgotten. */
const RETENTION_MS = 600_000;
const MAXIMUM_ENDPOINTS = 4_096;

const statesNothing = ({ requestsPerSecond, rejectionsPerSecond }: LimitObservation): boolean =>
  requestsPerSecond === undefined && rejectionsPerSecond === undefined;

const isEnded = ({ observation }: EndpointLimit): boolean => statesNothing(observation);

/** Whether a limit ended so long ago that it no longer slows requests down. */
const isLifted = (limit: EndpointLimit, now: number): boolean =>
  isEnded(limit) && now - limit.observation.answeredAt >= RAMP_MS;

/** Returns the requests a second that all processes together may send. */
const fullRate = (limit: EndpointLimit, now: number): number => {
  const { requestsPerSecond = Number.POSITIVE_INFINITY } = limit.observation;
  if (!isEnded(limit)) return Math.max(MINIMUM_RATE, requestsPerSecond);
  const rate = Math.max(MINIMUM_RATE, limit.requestsPerSecond);
  return rate * 2 ** ((now - limit.observation.answeredAt) / RAMP_DOUBLING_MS);
};

/**
 * The rates of requests and of rejections that endpoints state they bear from all gateways together, and what a
 * scheduler may still send within them. Buckets start empty, because another process may have sent requests before.
 */
export class EndpointLimits {
  readonly #limits = new Map<string, EndpointLimit>();

  /** Caps of endpoints that may turn cold, which hold in addition to the stated limits. */
  readonly coldCaps = new ColdStartCaps();

  /** Fraction of each limit that this process may use. */
  #share = 1;

  /** Number of endpoints that state a limit. */
  get limitedCount(): number {
    return [...this.#limits.values()].filter((limit) => !isEnded(limit)).length;
  }

  /** Whether no endpoint has stated a limit lately or is capped, so that none has to be looked up. */
  get isEmpty(): boolean {
    return this.#limits.size === 0 && this.coldCaps.isEmpty;
  }

  /** Whether any endpoint has stated a limit lately. */
  get hasStatedLimits(): boolean {
    return this.#limits.size > 0;
  }

  /** Sets the fraction of each limit that this process may use, from 0 to 1. */
  setShare(share: number): void {
    this.#share = share;
  }

  /**
   * Records what an answer said. Answers may arrive in another order than they were given: one without
   * a limit ends the limit only if its request was sent after the limit was known.
   *
   * @param observation - what the answer said
   * @param now - present time in ms, monotonic
   * @returns whether the limit of the endpoint changed
   */
  observe(observation: LimitObservation, now: number): boolean {
    const { endpoint, requestsPerSecond, rejectionsPerSecond, sentAt, answeredAt } = observation;
    const known = this.#limits.get(endpoint);
    if (statesNothing(observation)) {
      if (known === undefined || isEnded(known)) return false;
      if (sentAt <= known.observation.answeredAt + CLOCK_MARGIN_MS) return false;
      known.observation = observation;
      return true;
    }
    if (known === undefined) {
      this.#add(observation, now);
      return true;
    }
    if (answeredAt <= known.observation.answeredAt) return false;
    const changed =
      known.observation.requestsPerSecond !== requestsPerSecond ||
      known.observation.rejectionsPerSecond !== rejectionsPerSecond;
    known.observation = observation;
    known.requestsPerSecond = requestsPerSecond ?? Number.POSITIVE_INFINITY;
    return changed;
  }

  /**
   * Whether requests to an endpoint need a decision of the scheduler: it is capped, states a limit, or did so
   * until a moment ago.
   */
  isLimited(endpoint: string, now: number): boolean {
    return this.coldCaps.isCapped(endpoint) || this.statesLimit(endpoint, now);
  }

  /** Whether an endpoint states a limit, or did so until a moment ago. */
  statesLimit(endpoint: string, now: number): boolean {
    return this.#findBinding(endpoint, now) !== undefined;
  }

  /**
   * Returns the time until this process may send a request to an endpoint.
   *
   * @param endpoint - one start of an endpoint
   * @param now - present time in ms, monotonic
   * @returns the time in ms; 0 if it may be sent now
   */
  msUntilAllowed(endpoint: string, now: number): number {
    const capMs = this.coldCaps.msUntilAllowed(endpoint, now);
    const limit = this.#findBinding(endpoint, now);
    if (limit === undefined) return capMs;
    const { rejectionsPerSecond } = limit.observation;
    const untilBorneMs =
      rejectionsPerSecond === undefined
        ? 0
        : limit.guard.msUntilOpen(this.#share * rejectionsPerSecond, now);
    return Math.max(capMs, untilBorneMs, this.#bucketOf(limit, now)?.msUntilLevel(1, now) ?? 0);
  }

  /** Counts a request that is sent to an endpoint. */
  consume(endpoint: string, now: number): void {
    this.coldCaps.consume(endpoint, now);
    const limit = this.#findBinding(endpoint, now);
    if (limit !== undefined) this.#bucketOf(limit, now)?.consume(1, now);
  }

  /** Takes back a request that was counted and isn't sent. */
  refund(endpoint: string, now: number): void {
    this.coldCaps.refund(endpoint, now);
    const limit = this.#findBinding(endpoint, now);
    if (limit !== undefined) this.#bucketOf(limit, now)?.refund(1, now);
  }

  /**
   * Returns the requests that an endpoint may get at a time.
   *
   * @param endpoint - one start of an endpoint
   * @param slots - the most that it may get
   * @param now - present time in ms, monotonic
   */
  slotLimit(endpoint: string, slots: number, now: number): number {
    const limit = this.#findBinding(endpoint, now);
    const rejectionsPerSecond = limit?.observation.rejectionsPerSecond;
    if (limit === undefined || rejectionsPerSecond === undefined) return slots;
    return limit.guard.slotLimit(slots, rejectionsPerSecond, now);
  }

  /**
   * Records that an endpoint rejected a request for want of room.
   *
   * @param endpoint - one start of an endpoint
   * @param running - requests that it has otherwise
   * @param now - present time in ms, monotonic
   */
  recordRejection(endpoint: string, running: number, now: number): void {
    this.#findBinding(endpoint, now)?.guard.recordRejection(running, now);
  }

  /**
   * Returns the requests a second that this process may send to an endpoint.
   *
   * @returns the rate; infinite if the endpoint has no limit and isn't capped
   */
  rateOf(endpoint: string, now: number): number {
    const cap = this.coldCaps.rateOf(endpoint, now);
    const limit = this.#findBinding(endpoint, now);
    return limit === undefined ? cap : Math.min(cap, this.#share * fullRate(limit, now));
  }

  /** Empties all buckets, for a process that begins to schedule. */
  reset(now: number): void {
    this.coldCaps.reset(now);
    this.#limits.forEach((limit) => {
      if (isLifted(limit, now)) return;
      limit.guard.reset(now);
      const bucket = this.#bucketOf(limit, now);
      bucket?.consume(bucket.available(now), now);
    });
  }

  /** Returns the newest observation of each endpoint, for other gateways. */
  list(): LimitObservation[] {
    return [...this.#limits.values()].map(({ observation }) => observation);
  }

  /** Forgets limits that ended, or that no answer has confirmed for a long time. */
  evict(now: number): void {
    this.#limits.forEach((limit, endpoint) => {
      const retentionMs = isEnded(limit) ? ENDED_RETENTION_MS : RETENTION_MS;
      if (now - limit.observation.answeredAt > retentionMs) this.#limits.delete(endpoint);
    });
  }

  #add(observation: LimitObservation, now: number): void {
    const { requestsPerSecond = Number.POSITIVE_INFINITY } = observation;
    const bucket = new TokenBucket(1, BASE_BURST, now);
    bucket.consume(BASE_BURST, now);
    const guard = new RejectionGuard();
    this.#limits.set(observation.endpoint, { observation, requestsPerSecond, bucket, guard });
    const [oldest] = this.#limits.keys();
    if (this.#limits.size > MAXIMUM_ENDPOINTS && oldest !== undefined) this.#limits.delete(oldest);
  }

  /** Returns a limit that is in force or being lifted. */
  #findBinding(endpoint: string, now: number): EndpointLimit | undefined {
    const limit = this.#limits.get(endpoint);
    return limit === undefined || isLifted(limit, now) ? undefined : limit;
  }

  /** Returns the bucket of a limit to the rate of requests; undefined if there is no such limit. */
  #bucketOf(limit: EndpointLimit, now: number): TokenBucket | undefined {
    const rate = this.#share * fullRate(limit, now);
    if (!Number.isFinite(rate)) return undefined;
    limit.bucket.reconfigure(rate, BASE_BURST + (rate * BURST_MS) / MS_PER_SECOND, now);
    return limit.bucket;
  }
}
