import type { Outage } from './StoreContact.ts';
import { MISSING_ENTRY_GRACE_MS } from './viewTiming.ts';

/**
 * Longest time for which an entry is kept that was removed after an outage, from the last moment at which it is
 * known to have been listed. Most such endpoints have left, and none may be used for longer than 2 s after that.
 */
const REMOVED_ENTRY_RETENTION_MS = 1_800;

/**
 * Returns until when missing entries are kept at the longest.
 *
 * @param outage - the last outage of the store that the group knows of, if any
 * @returns the time in ms; infinite in an outage, since entries are registered again only after it
 */
export const graceUntil = (outage: Outage | undefined): number =>
  outage === undefined ? Number.NEGATIVE_INFINITY : outage.endedAt + MISSING_ENTRY_GRACE_MS;

/**
 * Returns until when an entry is kept in use that the store no longer lists. There is one reason to keep it: it may
 * have expired in an outage of the store, and only the group knows of those. Without an outage its endpoint has left.
 *
 * @param listedAt - last moment at which the store is known to have listed the entry, in ms
 * @param outage - the last outage of the store that the group knows of, if any
 * @returns the time in ms, possibly a past one
 */
export const retainUntil = (listedAt: number, outage: Outage | undefined): number => {
  const until = graceUntil(outage);
  // No answer came between the ends of the outage, but either time may have reached this process by a longer way than the
  // other, and looks later by that.
  const mayHaveExpired =
    outage !== undefined && listedAt - outage.startedAt < outage.endedAt - listedAt;
  return mayHaveExpired ? until : Math.min(until, listedAt + REMOVED_ENTRY_RETENTION_MS);
};
