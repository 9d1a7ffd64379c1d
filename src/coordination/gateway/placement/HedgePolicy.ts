import type { FirstByteTimes, RequestGroup } from './FirstByteTimes.ts';

/** When requests of a group are slow, as the scheduler estimates it from the times of all gateways. */
export interface HedgeEstimate extends RequestGroup {
  /** Time since sending after which a request is slow, in ms. */
  readonly afterMs: number;
  /** Whether the service has too few free slots for second copies. */
  readonly isShort: boolean;
}

/** What forbade a second copy. */
export type HedgeLimit =
  /** The route's limit of attempts or its kind, or the request's deadline. */
  | 'attempts'
  /** There is no present estimate of the scheduler. */
  | 'estimate'
  /** The service is short of free slots. */
  | 'capacity'
  /** The client account sends more than its share of the requests. */
  | 'account'
  /** The share of requests that the operator allows. */
  | 'share'
  | 'retryBudget'
  /** No other endpoint is suitable. */
  | 'endpoint'
  /** The scheduler granted no slot. */
  | 'scheduler'
  /** The process was paused, so that what it knows may have expired. */
  | 'pause';

/** Client account of a request. */
export interface HedgeAccount {
  readonly name: string;
  /** Quota by which shares are compared; 0 if it has none. */
  readonly quota: number;
}

/** A request that is slow. */
export interface SlowRequest {
  readonly group: RequestGroup;
  readonly account: HedgeAccount;
  /** Whether its route and deadline allow another attempt. */
  readonly mayRepeat: boolean;
}

/** Settings of the policy. */
export interface HedgePolicyOptions {
  /** Second copies as a share of the requests. */
  readonly share: number;
  /** Time over which requests are counted, in ms. */
  readonly windowMs: number;
}

interface CountedRequest {
  readonly at: number;
  readonly account: HedgeAccount;
}

interface ServiceCount {
  readonly requests: CountedRequest[];
  /** Requests that no second copy was taken for; in whole requests, so that rounding doesn't add up. */
  unused: number;
}

/** The scheduler sends estimates each 4 s; two may be missed before they count as outdated. */
const ESTIMATE_VALID_MS = 9_000;
/**
 * Part of the allowed share that is expected to be slow. The rest stays in reserve for the time in which an endpoint is
 * slow for all its requests: a share that marginally slow requests use up isn't there for the very slow ones.
 */
const SLOW_SHARE = 0.5;
/** A second copy takes about the median itself, so that it saves little before twice the median. */
const LEAST_MEDIANS = 2;
/**
 * Part of the slots that may be occupied: above three quarters, a service in four failure domains could not carry its
 * load without one of them.
 */
export const MAXIMUM_HEDGED_OCCUPANCY = 0.75;
/** Requests of an account relative to its share, and in addition to it, above which it is over its share. */
const ACCOUNT_TOLERANCE = { factor: 2, requests: 3 };

/**
 * Estimates when the requests of each group are slow: after a quantile that half of the allowed share exceeds, so that
 * the share suffices for all slow ones.
 *
 * @param times - times to first byte of all gateways
 * @param share - second copies as a share of the requests
 * @param occupancyOf - returns the occupied part of a service's slots
 * @param now - present time in ms, monotonic
 * @returns the estimates of the groups with enough times
 */
export const estimateHedges = (
  times: FirstByteTimes,
  share: number,
  occupancyOf: (service: string) => number,
  now: number,
): HedgeEstimate[] => {
  const slowShare = SLOW_SHARE * share;
  // At least one time is above the quantile.
  const leastWeight = 1 / slowShare;
  return times.list().flatMap((group) => {
    const quantileMs = times.quantile(group, 1 - slowShare, leastWeight, now);
    const medianMs = times.quantile(group, 0.5, leastWeight, now);
    if (quantileMs === undefined || medianMs === undefined) return [];
    const afterMs = Math.max(quantileMs, LEAST_MEDIANS * medianMs);
    const isShort = occupancyOf(group.service) > MAXIMUM_HEDGED_OCCUPANCY;
    return [{ ...group, afterMs, isShort }];
  });
};

const keyOf = ({ service, route, size }: RequestGroup): string => `${service} ${route} ${size}`;

/** Whether an account sends more than its share: by quotas if all accounts have one, otherwise equal shares. */
const isOverShare = (account: HedgeAccount, requests: readonly CountedRequest[]): boolean => {
  const quotas = new Map(requests.map((request) => [request.account.name, request.account.quota]));
  const hasQuotas = [...quotas.values()].every((quota) => quota > 0);
  const total = [...quotas.values()].reduce((sum, quota) => sum + quota, 0);
  const share = hasQuotas
    ? (quotas.get(account.name) ?? 0) / Math.max(total, Number.MIN_VALUE)
    : 1 / Math.max(1, quotas.size);
  const own = requests.filter((request) => request.account.name === account.name).length;
  const { factor, requests: tolerated } = ACCOUNT_TOLERANCE;
  return own > factor * share * requests.length + tolerated;
};

/**
 * Decides whether and when a gateway sends a second copy of a slow request. Each gateway allows the share of its own
 * requests, so that all together stay within the share.
 */
export class HedgePolicy {
  readonly #options: HedgePolicyOptions;

  readonly #services = new Map<string, ServiceCount>();

  #estimates: ReadonlyMap<string, HedgeEstimate> = new Map();

  #estimatedAt = Number.NEGATIVE_INFINITY;

  constructor(options: HedgePolicyOptions) {
    this.#options = options;
  }

  /** Second copies as a share of the requests. */
  get share(): number {
    return this.#options.share;
  }

  /**
   * Counts a caller's request.
   *
   * @param service - its service
   * @param account - its client account
   * @param now - present time in ms, monotonic
   */
  recordRequest(service: string, account: HedgeAccount, now: number): void {
    const count = this.#countOf(service, now);
    count.requests.push({ at: now, account });
    // A gateway with few requests saves up for one copy over several windows.
    count.unused = Math.min(
      Math.max(this.#requestsPerHedge, count.requests.length),
      count.unused + 1,
    );
  }

  /** Replaces the estimates by those that the scheduler has now. */
  setEstimates(estimates: readonly HedgeEstimate[], now: number): void {
    this.#estimates = new Map(estimates.map((estimate) => [keyOf(estimate), estimate]));
    this.#estimatedAt = now;
  }

  /** Forgets requests and estimates, after a time that the clock didn't count. */
  forget(): void {
    this.#services.clear();
    this.#estimates = new Map();
  }

  /**
   * Returns the time since sending after which a request is slow.
   *
   * @param group - the request's group
   * @param now - present time in ms, monotonic
   * @returns the time in ms; undefined without a present estimate
   */
  slowAfterMs(group: RequestGroup, now: number): number | undefined {
    return this.#findEstimate(group, now)?.afterMs;
  }

  /**
   * Returns what forbids a second copy of a slow request now.
   *
   * @param request - the request
   * @param now - present time in ms, monotonic
   * @returns the limit, or undefined if only the retry budget remains to be charged
   */
  findLimit({ group, account, mayRepeat }: SlowRequest, now: number): HedgeLimit | undefined {
    if (!mayRepeat) return 'attempts';
    const estimate = this.#findEstimate(group, now);
    if (estimate === undefined) return 'estimate';
    if (estimate.isShort) return 'capacity';
    const count = this.#countOf(group.service, now);
    if (isOverShare(account, count.requests)) return 'account';
    return count.unused < this.#requestsPerHedge ? 'share' : undefined;
  }

  /**
   * Takes a second copy of a slow request from the share and from the retry budget. Call it right before sending.
   *
   * @param request - the request
   * @param tryCharge - charges the retry budget; returns false if it is used up
   * @param now - present time in ms, monotonic
   * @returns what forbids the copy, or undefined if it is to be sent
   */
  tryHedge(request: SlowRequest, tryCharge: () => boolean, now: number): HedgeLimit | undefined {
    const limit = this.findLimit(request, now);
    if (limit !== undefined) return limit;
    if (!tryCharge()) return 'retryBudget';
    this.#countOf(request.group.service, now).unused -= this.#requestsPerHedge;
    return undefined;
  }

  get #requestsPerHedge(): number {
    return 1 / this.#options.share;
  }

  #findEstimate(group: RequestGroup, now: number): HedgeEstimate | undefined {
    if (now - this.#estimatedAt > ESTIMATE_VALID_MS) return undefined;
    return this.#estimates.get(keyOf(group));
  }

  #countOf(service: string, now: number): ServiceCount {
    const count = this.#services.get(service) ?? { requests: [], unused: 0 };
    this.#services.set(service, count);
    const earliest = now - this.#options.windowMs;
    const expired = count.requests.findIndex(({ at }) => at >= earliest);
    count.requests.splice(0, expired < 0 ? count.requests.length : expired);
    return count;
  }
}
