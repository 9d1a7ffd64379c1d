import type { CallRecord } from '../../protocol/peer/PeerMessage.ts';
import { placementOf, type Ticket } from './Ticket.ts';

/** A call that takes more than this multiple of its estimate counts as a fault of its version. */
const SLOW_FACTOR = 2.5;
/** Estimates below this are too coarse to compare with and are raised to it. */
const MINIMUM_EXPECTED_MS = 20;

/**
 * Tells whether a call's result suggests a fault of the version that served it.
 *
 * @param ticket - the call's ticket, not yet ended
 * @param record - the call's result and times
 * @returns true for a failed call, and for a completed one far slower than estimated
 */
export const suggestsVersionFault = (ticket: Ticket, record: CallRecord): boolean => {
  switch (record.result) {
    case 'failed':
      return true;
    case 'completed': {
      const expectedMs = Math.max(MINIMUM_EXPECTED_MS, placementOf(ticket)?.estimateMs ?? Infinity);
      return !ticket.isTimingUnreliable && record.totalMs > SLOW_FACTOR * expectedMs;
    }
    case 'refused':
    case 'cancelled':
      return false;
    default:
      return record.result satisfies never;
  }
};
