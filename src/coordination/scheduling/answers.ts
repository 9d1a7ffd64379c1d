import type { Grant } from '../../protocol/peer/PeerMessage.ts';
import type { NotRunReason } from '../../state/RequestOutcome.ts';
import type { Action } from '../Action.ts';
import { placementOf, type Ticket } from './Ticket.ts';

/** @returns the part of a decision that names the request */
export const subjectOf = ({ reservation }: Ticket) => {
  const { id, account, tierRank, pool } = reservation;
  return { requestId: id, account, tier: tierRank, pool };
};

/** @returns the message that refuses a reservation */
export const refusalFor = (
  to: string,
  id: string,
  reason: NotRunReason,
  retryAfterMs: number,
): Action => ({ _tag: 'send', to, message: { _tag: 'refused', id, reason, retryAfterMs } });

/** @returns the message that grants slots to one home's requests */
export const grantsFor = (to: string, grants: readonly Grant[]): Action => ({
  _tag: 'send',
  to,
  message: { _tag: 'granted', grants },
});

/** @returns the grant of a ticket, or undefined where it has no placement */
export const grantOf = (ticket: Ticket): Grant | undefined => {
  const placement = placementOf(ticket);
  if (placement === undefined) return undefined;
  const { id, pool } = ticket.reservation;
  const { endpoint, version, estimateMs } = placement;
  return { id, pool, endpoint, version, estimateMs };
};
