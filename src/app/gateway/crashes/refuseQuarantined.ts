import type { PlacementDecision } from '../../../coordination/gateway/index.ts';
import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { PlacementAnswer } from '../placement/LocalTickets.ts';

/** Returns the shared prompt parts of a ticket; a gateway of an older build states none. */
export const partsOf = ({ promptParts }: PlacementTicket): readonly string[] => promptParts ?? [];

/**
 * Makes the decision on a ticket whose prompt has a quarantined part.
 *
 * @param queued - the ticket, its gateway and the time in ms for which it waited, if it did
 * @param retryAfterMs - time to the end of the part's period, in ms
 * @returns the refusal
 */
export const refuseQuarantined = (
  {
    owner,
    ticket,
    waitedMs = 0,
  }: Pick<PlacementDecision, 'owner' | 'ticket'> & { readonly waitedMs?: number },
  retryAfterMs: number,
): PlacementDecision => ({
  _tag: 'refuse',
  owner,
  ticket,
  reason: 'quarantined',
  waitedMs,
  expectedWaitMs: retryAfterMs,
  retryAfterMs,
});

/** Makes the answer to an own ticket whose prompt has a quarantined part. */
export const quarantineAnswer = (retryAfterMs: number, decidedBy: string): PlacementAnswer => ({
  _tag: 'refused',
  reason: 'quarantined',
  retryAfterMs,
  decidedBy,
});
