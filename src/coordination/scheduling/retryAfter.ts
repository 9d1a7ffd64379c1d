const LEAST_MS = 250;
const MOST_MS = 30_000;
const SPREAD = 0.5;
const HASH_RANGE = 65_536;

/** A number from 0 to 1 that depends on nothing but the text. */
const fractionOf = (text: string): number => {
  const hash = [...text].reduce((sum, char) => (sum * 31 + char.charCodeAt(0)) % HASH_RANGE, 7);
  return hash / HASH_RANGE;
};

/**
 * Says when a refused caller should come back. Callers refused together are told different times, so
 * that they don't return together; the spread depends on the request alone.
 *
 * @param id - the request's id
 * @param expectedMs - when the cause of the refusal is expected to be over
 * @returns time to wait, in ms
 */
export const computeRetryAfterMs = (id: string, expectedMs: number): number => {
  const bounded = Math.max(LEAST_MS, Math.min(MOST_MS, expectedMs));
  return Math.round(bounded * (1 + SPREAD * fractionOf(id)));
};
