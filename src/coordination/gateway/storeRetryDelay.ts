const FIRST_PAUSE_MS = 60;
/** Longest pause of one that others rely on: a store that is back is found soon. */
const LONGEST_PAUSE_MS = 400;
/** Longest pause of all others, who hear from the first one when the store is back. */
const LONGEST_PAUSE_OF_OTHERS_MS = 1_000;

/**
 * Tells how long to wait before the store is asked again. Every call is paid for, and while the store
 * is away all processes ask it.
 *
 * @param failures - calls that failed in a row before
 * @param isReliedOn - whether other processes rely on this one to watch the store
 * @param fraction - a random number from 0 up to 1, which spreads the calls
 * @returns the pause in ms
 */
export const retryPause = (failures: number, isReliedOn: boolean, fraction: number): number => {
  const longestMs = isReliedOn ? LONGEST_PAUSE_MS : LONGEST_PAUSE_OF_OTHERS_MS;
  return Math.min(longestMs, FIRST_PAUSE_MS * 2 ** failures) * (0.5 + 0.5 * fraction);
};
