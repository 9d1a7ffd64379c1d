import type { WaitingPlacement } from './orderQueue.ts';
import type { PlacementDecision } from './PlacementScheduler.ts';

/**
 * Refuses a request that isn't queued; its gateway sends it to another endpoint.
 *
 * @param queued - the request
 * @param untilAllowedMs - time until an endpoint may have room for it, in ms
 * @param engines - engines of the service, and those of them that the request could use
 * @param now - current time, in ms
 * @returns the refusal
 */
export const refuseImmediately = (
  { owner, ticket, arrivedAt }: WaitingPlacement,
  untilAllowedMs: number,
  engines: { readonly listed: number; readonly usable: number },
  now: number,
): PlacementDecision => ({
  _tag: 'refuse',
  owner,
  ticket,
  reason: 'overload',
  waitedMs: now - arrivedAt,
  expectedWaitMs: untilAllowedMs,
  retryAfterMs: untilAllowedMs,
  engines,
});
