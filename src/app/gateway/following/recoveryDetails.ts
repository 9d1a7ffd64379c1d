import type { StoreRecovery } from './StoreWatch.ts';

/**
 * Returns what the log says of the answer that showed that the store is available: a store that was silent or slow until
 * then let calls wait, one that refused them didn't.
 *
 * @param recovery - the answer, and the calls before it
 * @param now - present time in ms, monotonic
 * @returns fields of a log line, all times in ms
 */
export const recoveryDetails = (
  { callMs, failed }: StoreRecovery,
  now: number,
): Record<string, number> => ({
  callMs: Math.round(callMs),
  ...(failed !== undefined && {
    failedCalls: failed.count,
    failingMs: Math.round(now - failed.since),
    longestFailureMs: Math.round(failed.longestMs),
  }),
});
