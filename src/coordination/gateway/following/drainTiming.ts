import {
  CATCH_UP_WAIT_MS,
  CONNECT_TIMEOUT_MS,
  FIRST_BACKOFF_MS,
  TICK_INTERVAL_MS,
  WATCH_ANSWER_MS,
} from './viewTiming.ts';

/** Times by which gateways follow the drains of failure domains. They are shares of the operator's deadline. */
export interface DrainTiming {
  /** Longest wait of one watch, in ms. */
  readonly waitMs: number;
  /**
   * Age of the view from which a gateway sends nothing until it has called the store, unless a call has failed since:
   * it was paused, and doesn't know what has happened meanwhile.
   */
  readonly staleMs: number;
  /**
   * Returns up to which age of its view a member relies on others.
   *
   * @param rank - its place among the members of its failure domain; the watcher has 0
   */
  readonly relianceMs: (rank: number) => number;
}

/** Long, because calls to the store cost, and drains are rare. */
const LONGEST_WAIT_MS = 2_500;
/** Longer than a failed call of the watcher that is repeated. */
const FIRST_RELIANCE_BEYOND_WAIT_MS = 700;
const RELIANCE_STEP_MS = 150;
const MAXIMUM_RELIANCE_STEPS = 2;
const LAST_RELIANCE_BEYOND_WAIT_MS =
  FIRST_RELIANCE_BEYOND_WAIT_MS + MAXIMUM_RELIANCE_STEPS * RELIANCE_STEP_MS;
/** Longest time that the last member's call takes if it fails once. */
const CATCH_UP_MS =
  TICK_INTERVAL_MS +
  Math.max(CATCH_UP_WAIT_MS + WATCH_ANSWER_MS, CONNECT_TIMEOUT_MS) +
  FIRST_BACKOFF_MS +
  CATCH_UP_WAIT_MS;
/** Time in which a decision of the old view may still be carried out: a tick and a busy event loop. */
const SENDING_MS = 2 * TICK_INTERVAL_MS;

/** Time after the start of a gateway in which it sends nothing before it has read the drains. */
export const FIRST_CONTACT_MS = 4_000;

/**
 * Derives the times from the deadline.
 *
 * @param deadlineMs - time after its acknowledgement by which a drain must be in force at every gateway, in ms
 * @returns the times; the longest age that a view reaches, if one call fails, is below `staleMs`
 */
export const drainTiming = (deadlineMs: number): DrainTiming => {
  const staleMs = deadlineMs - SENDING_MS;
  const longestMs = staleMs - LAST_RELIANCE_BEYOND_WAIT_MS - CATCH_UP_MS;
  const waitMs = Math.max(CATCH_UP_WAIT_MS, Math.min(LONGEST_WAIT_MS, longestMs));
  return {
    waitMs,
    staleMs,
    relianceMs: (rank) =>
      waitMs +
      FIRST_RELIANCE_BEYOND_WAIT_MS +
      RELIANCE_STEP_MS * Math.min(MAXIMUM_RELIANCE_STEPS, Math.max(0, rank - 1)),
  };
};
