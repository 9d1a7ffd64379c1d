import { computeRetryAfterMs } from '../scheduling/retryAfter.ts';

/** Time after which a route that got nothing at all is asked to come back. */
const LONGEST_CONGESTION_MS = 8_000;

/**
 * Says when a refused request is best back. The less of its route was served lately, the longer the
 * congestion is taken to last: one that comes back into it is refused again or takes the slot of
 * another that would have been on time.
 *
 * @param id - the request's id, which spreads the returns
 * @param expectedWaitMs - expected time until a slot is free
 * @param servedShare - part of the route's requests that got a slot lately
 * @returns time to wait, in ms
 */
export const adviseReturn = (id: string, expectedWaitMs: number, servedShare: number): number =>
  computeRetryAfterMs(id, expectedWaitMs + LONGEST_CONGESTION_MS * (1 - servedShare) ** 2);
