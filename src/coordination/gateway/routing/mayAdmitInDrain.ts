/** The graceful stop of a gateway. */
export interface Drain {
  /** In ms, monotonic. */
  readonly startedAt: number;
  /** When requests in flight are ended, in ms, monotonic. */
  readonly endsAt: number;
}

/**
 * Time after the start of a drain in which all requests are admitted: callers that have asked for addresses before still
 * send them here.
 */
const ADMIT_ALL_MS = 2_500;

/**
 * Tells whether a gateway that drains may take a request. Later in the drain it takes only those that end before it does,
 * however long they take.
 *
 * @param drain - the drain
 * @param longestMs - time after which the request is given up at the latest, in ms
 * @param now - present time in ms, monotonic
 * @returns false if the request might be cut off
 */
export const mayAdmitInDrain = (
  { startedAt, endsAt }: Drain,
  longestMs: number,
  now: number,
): boolean => now - startedAt <= ADMIT_ALL_MS || now + longestMs <= endsAt;
