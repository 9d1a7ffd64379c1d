/**
 * Times by which gateways follow the store. They are shares of one deadline, which runs from the moment at which the
 * store last confirmed a view: VIEW_BOUND_MS later no request may be handled by that view. `longestViewAges` adds
 * them up along each path.
 */

/** Promise to the users: age of a change of the store at which it is in force everywhere. */
export const VIEW_BOUND_MS = 2_000;

/** Interval of the periodic work of a gateway. */
export const TICK_INTERVAL_MS = 50;

/** The same while nothing waits and the view is young. */
export const CALM_TICK_INTERVAL_MS = 100;

/** Age of a view from which on the shorter interval applies: no time below counts from an earlier moment. */
export const YOUNG_VIEW_MS = 1_000;

/** Time in which a connection opens, or is given up. */
export const CONNECT_TIMEOUT_MS = 300;

/** Longest wait of one watch, after which the store confirms that nothing has changed. */
export const WATCH_WAIT_MS = 900;

/** Wait of a watch whose answer is wanted at once, because the view is old. */
export const CATCH_UP_WAIT_MS = 20;

/** Time for the answer to a watch beyond its wait before the next call is made, unless the store is known to be slower. */
export const WATCH_ANSWER_MS = 300;

/**
 * Longest such time, also for a list. The call stays open, but it holds up no other: one that was sent while the store was
 * slow or silent tells nothing of its return.
 */
export const LONGEST_ANSWER_MS = 400;

/** Time beyond its wait after which a call is given up: its answer would confirm a view that is too old to be used. */
export const LATE_ANSWER_MS = VIEW_BOUND_MS;

/** Longest pause after the first failed call. */
export const FIRST_BACKOFF_MS = 51;

/** Time for which a gateway that lacks a change asks its peers before it calls the store. */
export const MAXIMUM_LAG_MS = 400;

/** Interval at which a gateway asks a peer for what its view lacks. */
export const REQUEST_INTERVAL_MS = 150;

/** Peers that a gateway asks in vain before one answers whose view is young. */
const ASKED_IN_VAIN = 2;

/**
 * Time after an outage of the store in which missing entries are kept: entries that expired meanwhile are registered again
 * within 2 s of its end if their endpoint is alive.
 */
export const MISSING_ENTRY_GRACE_MS = 2_050;

/** Time after the last disturbance from which on a gateway owes its promises again. */
export const UNDISTURBED_MS = 3_000;

/** Time of messages on the way and in busy event loops for which the paths leave room. */
export const TRANSIT_RESERVE_MS = 100;

/**
 * Age of its view at which the first member after the watcher of a failure domain calls the store itself; it lets the
 * others know the answer. It is above the age that a view reaches while all is well, which is WATCH_WAIT_MS.
 */
const FIRST_RELIANCE_MS = 1_200;
/** Later members wait for the answer of earlier ones, so that not all call at once. */
const RELIANCE_STEP_MS = 125;
const MAXIMUM_RELIANCE_STEPS = 2;

/**
 * Returns up to which age of its view a member relies on others.
 *
 * @param rank - its place among the members of its failure domain; the watcher has 0
 * @returns the age in ms
 */
export const relianceMs = (rank: number): number =>
  FIRST_RELIANCE_MS + RELIANCE_STEP_MS * Math.min(MAXIMUM_RELIANCE_STEPS, Math.max(0, rank - 1));

/** Longest time that a call takes if it fails once: by a silent connection, or by one that doesn't open. */
const CATCH_UP_MS =
  Math.max(CATCH_UP_WAIT_MS + WATCH_ANSWER_MS, CONNECT_TIMEOUT_MS) +
  FIRST_BACKOFF_MS +
  CATCH_UP_WAIT_MS;

/**
 * Returns the greatest age that a view reaches on each path while the store is well, and answers the gateway with one
 * failure at most or refuses it for long.
 *
 * @returns the ages in ms, by path
 */
export const longestViewAges = (): Readonly<Record<string, number>> => ({
  watcher: WATCH_WAIT_MS + WATCH_ANSWER_MS + FIRST_BACKOFF_MS + CATCH_UP_WAIT_MS,
  'follower, the watcher is silent': relianceMs(Infinity) + TICK_INTERVAL_MS + CATCH_UP_MS,
  'follower, a peer knows the change':
    TRANSIT_RESERVE_MS + MAXIMUM_LAG_MS + TICK_INTERVAL_MS + CATCH_UP_MS,
  'refused by the store, peers are not':
    relianceMs(Infinity) + TICK_INTERVAL_MS + ASKED_IN_VAIN * REQUEST_INTERVAL_MS,
});

/**
 * Returns the longest time after the return of the store for which a missing entry is kept, if a member that watches it
 * for others runs. The store was slow or silent before, so that a call may still be without an answer.
 *
 * @returns the time in ms
 */
export const longestRetentionMs = (): number =>
  CATCH_UP_WAIT_MS +
  LONGEST_ANSWER_MS +
  FIRST_BACKOFF_MS +
  CATCH_UP_WAIT_MS +
  TRANSIT_RESERVE_MS +
  MISSING_ENTRY_GRACE_MS +
  CALM_TICK_INTERVAL_MS;
