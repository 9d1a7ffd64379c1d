import type { PlacementDecision } from '../../../coordination/gateway/index.ts';
import { computeRetryAfterMs } from '../../../coordination/scheduling/computeRetryAfterMs.ts';
import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';

/**
 * Makes the decision on a ticket that exceeds the quota of its client account.
 *
 * @param owner - incarnation of the ticket's gateway
 * @param ticket - the ticket
 * @param waitMs - time until the quota allows it, in ms
 * @returns the refusal
 */
export const refuseOverQuota = (
  owner: string,
  ticket: PlacementTicket,
  waitMs: number,
): PlacementDecision => ({
  _tag: 'refuse',
  owner,
  ticket,
  reason: 'quota',
  waitedMs: 0,
  expectedWaitMs: waitMs,
  retryAfterMs: computeRetryAfterMs(ticket.id, waitMs),
});
