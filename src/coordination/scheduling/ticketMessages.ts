import type { Grant } from '../../protocol/peer/PeerMessage.ts';
import type { NotRunReason } from '../../state/RequestOutcome.ts';
import type { Action } from '../Action.ts';
import { placementOf, type Ticket } from './Ticket.ts';

/**
 * Gives the fields that identify the request in a decision.
 *
 * @param ticket - the request's ticket
 * @returns request id, client account, tier rank and pool
 */
export const decisionSubjectOf = ({ reservation }: Ticket) => {
  const { id, account, tierRank, pool } = reservation;
  return { requestId: id, account, tier: tierRank, pool };
};

/**
 * Creates the message that refuses a reservation.
 *
 * @param to - incarnation that owns the request
 * @param id - the request's id
 * @param reason - why it isn't run
 * @param retryAfterMs - time after which the caller may retry, in ms
 * @returns the send action
 */
export const createRefusedMessage = (
  to: string,
  id: string,
  reason: NotRunReason,
  retryAfterMs: number,
): Action => ({ _tag: 'send', to, message: { _tag: 'refused', id, reason, retryAfterMs } });

/**
 * Creates the message that grants slots to requests of one owner.
 *
 * @param to - incarnation that owns the requests
 * @param grants - the grants
 * @returns the send action
 */
export const createGrantedMessage = (to: string, grants: readonly Grant[]): Action => ({
  _tag: 'send',
  to,
  message: { _tag: 'granted', grants },
});

/**
 * Creates the grant of a placed ticket.
 *
 * @param ticket - the ticket
 * @returns the grant, or undefined if the ticket has no placement
 */
export const createGrant = (ticket: Ticket): Grant | undefined => {
  const placement = placementOf(ticket);
  if (placement === undefined) return undefined;
  const { id, pool } = ticket.reservation;
  const { endpoint, version, estimateMs } = placement;
  return { id, pool, endpoint, version, estimateMs };
};
