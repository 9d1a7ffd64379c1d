import type { Reservation } from '../../protocol/peer/PeerMessage.ts';
import type { RequestRecord } from './RequestRecord.ts';

/**
 * Builds the reservation that asks a pool's scheduler for a slot.
 *
 * @param record - record of the request
 * @param now - present monotonic time, ms; the deadline is sent as the time that remains, since clocks of processes differ
 * @returns the reservation as sent to the scheduler
 */
export const makeReservation = ({ request, avoid }: RequestRecord, now: number): Reservation => ({
  id: request.id,
  pool: request.pool,
  route: request.route,
  tierRank: request.tierRank,
  account: request.account,
  promptTokens: request.promptTokens,
  outputTokens: request.outputTokens,
  remainingMs: request.deadlineAt - now,
  idempotent: request.idempotent,
  suspendable: request.suspendable,
  prefixes: request.prefixes,
  avoid,
});
