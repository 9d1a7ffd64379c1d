/** A rate of requests to one endpoint: at most `burst` + `perSecond` in any second. */
export interface RequestRate {
  readonly perSecond: number;
  readonly burst: number;
}

/** How a service's endpoints behave after their start, and what they bear then. */
export interface ColdEndpointBound {
  /** Requests a second that a cold endpoint bears. */
  readonly requestsPerSecond: number;
  /** Factor by which the requests of any second may exceed that. */
  readonly overshoot: number;
  /** Requests in any second beyond that. */
  readonly slack: number;
}

/** How many requests an endpoint of a service may get, by its state and by who decides. */
export interface ColdRates {
  /** From the scheduler, while the endpoint is known to be warm. */
  readonly warm: RequestRate;
  /** From the scheduler, while the endpoint is cold. */
  readonly cold: RequestRate;
  /** From each of the gateways that may send to the endpoint when they decide alone. */
  readonly alone: RequestRate;
  /** Number of these gateways. */
  readonly owners: number;
}

/**
 * Part of the bound that is planned for. The rest is for requests that were granted at different times and arrive
 * together: grants are used up to 350 ms after they were made, in which the scheduler makes less than a fifth of the
 * bound.
 */
const PLANNED_PART = 0.8;
/** Part of that which is kept for gateways that decide alone, at the same time as the scheduler. */
const ALONE_PART = 0.2;
/** Gateways that may send to an endpoint when they decide alone, if the part for them allows it. */
const MAXIMUM_OWNERS = 2;
/** Lowest rate at which it makes sense that a gateway decides alone, in requests a second. */
const MINIMUM_ALONE_RATE = 0.25;
/** Part of what the scheduler may send in a second that may be sent at once. */
const BURST_PART = 0.2;
/** Keeps waits finite where a bound allows less than a request a second. */
const MINIMUM_RATE = 0.2;

/**
 * Derives the rates that keep the requests of any second to one endpoint within a bound. An endpoint may turn cold
 * without notice, so that the bound holds for a warm one as well.
 *
 * @param bound - what a cold endpoint of the service bears
 * @returns the rates; those of the scheduler and of all owners together use at most `PLANNED_PART` of the bound
 */
export const deriveColdRates = ({
  requestsPerSecond,
  overshoot,
  slack,
}: ColdEndpointBound): ColdRates => {
  const planned = PLANNED_PART * (requestsPerSecond * overshoot + slack);
  const alonePart = ALONE_PART * planned;
  const owners = Math.min(MAXIMUM_OWNERS, Math.floor(alonePart / (1 + MINIMUM_ALONE_RATE)));
  const scheduled = owners === 0 ? planned : planned - alonePart;
  const burst = Math.max(1, BURST_PART * scheduled);
  const perSecond = Math.max(MINIMUM_RATE, scheduled - burst);
  return {
    warm: { perSecond, burst },
    cold: { perSecond: Math.min(perSecond, requestsPerSecond), burst: 1 },
    alone: { perSecond: owners === 0 ? 0 : alonePart / owners - 1, burst: 1 },
    owners,
  };
};
