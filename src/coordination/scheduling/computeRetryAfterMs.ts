const MINIMUM_DELAY_MS = 250;
const MAXIMUM_DELAY_MS = 30_000;
const JITTER_RATIO = 0.5;
const HASH_RANGE = 65_536;

/** A number from 0 to 1 that depends on nothing but the text. */
const hashToFraction = (text: string): number => {
  const hash = [...text].reduce((sum, char) => (sum * 31 + char.charCodeAt(0)) % HASH_RANGE, 7);
  return hash / HASH_RANGE;
};

/**
 * Says when a refused caller should come back. Callers refused together are told different times, so
 * that they don't return together; the spread depends on the request alone.
 *
 * @param id - the request's id
 * @param recoveryMs - when the cause of the refusal is expected to be over
 * @returns time to wait, in ms
 */
export const computeRetryAfterMs = (id: string, recoveryMs: number): number => {
  const bounded = Math.max(MINIMUM_DELAY_MS, Math.min(MAXIMUM_DELAY_MS, recoveryMs));
  return Math.round(bounded * (1 + JITTER_RATIO * hashToFraction(id)));
};
