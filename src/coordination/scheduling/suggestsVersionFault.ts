import type { CallRecord } from '../../protocol/peer/PeerMessage.ts';
import { placementOf, type Ticket } from './Ticket.ts';

/** A call that takes this many times what was expected of it says something about its version. */
const SLOW_FACTOR = 2.5;
/** Expectations below this are too coarse to compare with. */
const MINIMUM_EXPECTED_MS = 20;

/**
 * Tells whether a call casts doubt on the version that served it.
 *
 * @param ticket - the call's ticket, still granted
 * @param record - what the call showed
 * @returns true for a failed call and for one far slower than expected
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
