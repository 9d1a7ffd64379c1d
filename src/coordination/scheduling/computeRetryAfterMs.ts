const MINIMUM_DELAY_MS = 250;
const MAXIMUM_DELAY_MS = 30_000;
const JITTER_RATIO = 0.5;
const HASH_RANGE = 65_536;

/** Hashes a text to a fraction from 0 up to but not including 1. */
const hashToFraction = (text: string): number => {
  const hash = [...text].reduce((sum, char) => (sum * 31 + char.charCodeAt(0)) % HASH_RANGE, 7);
  return hash / HASH_RANGE;
};

/**
 * Computes how long a refused caller should wait before it retries. A jitter of up to half the
 * wait, derived from the request's id, keeps callers that were refused together from retrying
 * together.
 *
 * @param id - the request's id
 * @param recoveryMs - expected time until the cause of the refusal is over, in ms
 * @returns time to wait in ms, 250 to 45,000
 */
export const computeRetryAfterMs = (id: string, recoveryMs: number): number => {
  const bounded = Math.max(MINIMUM_DELAY_MS, Math.min(MAXIMUM_DELAY_MS, recoveryMs));
  return Math.round(bounded * (1 + JITTER_RATIO * hashToFraction(id)));
};
