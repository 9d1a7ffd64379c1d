import { computeRetryAfterMs } from '../../scheduling/computeRetryAfterMs.ts';

/** Assumed duration of the congestion if no recent request of a fairness group got a slot. */
const MAXIMUM_CONGESTION_MS = 8_000;

/**
 * Estimates when a refused request should be retried. The lower the recent grant ratio, the longer
 * the congestion is assumed to last: a retry during it is refused again, or takes the slot of a
 * request that would have been on time.
 *
 * @param id - the request's id, from which the jitter is derived
 * @param expectedWaitMs - expected time until a slot is free, in ms
 * @param grantRatio - fraction of the fairness group's recent requests that got a slot, from 0 to 1
 * @returns time to wait before the retry, in ms
 */
export const adviseRetryAfter = (id: string, expectedWaitMs: number, grantRatio: number): number =>
  computeRetryAfterMs(id, expectedWaitMs + MAXIMUM_CONGESTION_MS * (1 - grantRatio) ** 2);
