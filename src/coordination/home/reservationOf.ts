import type { Reservation } from '../../protocol/peer/PeerMessage.ts';
import type { RequestRecord } from './RequestRecord.ts';

/**
 * Describes a request to a pool's scheduler.
 *
 * @param record - the request's record
 * @param now - present monotonic time, ms; the deadline is sent as time left from it
 * @returns the reservation
 */
export const reservationOf = ({ request, avoid }: RequestRecord, now: number): Reservation => ({
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
