/** Delay after the first failure, before jitter; doubles with each consecutive failure. */
const INITIAL_DELAY_MS = 60;
/**
 * Maximum delay of a process that others rely on, short so that the end of an outage is detected
 * soon.
 */
const MAXIMUM_WATCHER_DELAY_MS = 400;
/** Maximum delay of all other processes; the processes above tell them when the outage has ended. */
const MAXIMUM_DELAY_MS = 1_000;
/** Shortest and longest part of a delay that jitter leaves of it. */
const JITTER = { least: 0.65, most: 0.85 };

/**
 * Computes the exponential backoff with jitter before the next call to the store. Every call to the
 * store has a cost, and during an outage all processes call it.
 *
 * @param previousFailures - number of consecutive failed calls before the latest failed one
 * @param hasDependents - whether other processes rely on this one to watch the store
 * @param fraction - a random number in [0, 1), which determines the jitter
 * @returns the delay, in ms
 */
export const storeRetryDelay = (
  previousFailures: number,
  hasDependents: boolean,
  fraction: number,
): number => {
  const maximumMs = hasDependents ? MAXIMUM_WATCHER_DELAY_MS : MAXIMUM_DELAY_MS;
  return (
    Math.min(maximumMs, INITIAL_DELAY_MS * 2 ** previousFailures) *
    (JITTER.least + (JITTER.most - JITTER.least) * fraction)
  );
};
