import { digestJson } from './canonicalJson.ts';
import type { Move } from './Move.ts';

const DIGEST_PREFIX_LENGTH = 'sha256:'.length;
const KEY_DIGEST_LENGTH = 10;

/**
 * Returns a key that identifies a move by its name, pool, versions and deadline. A move that a newer
 * bundle leaves unchanged keeps its key, and so its status and verdicts; a change of any of these
 * makes it a different move.
 *
 * @param move - a move of a bundle
 * @returns the move's name followed by a short digest
 */
export const moveKey = ({ name, pool, from, to, completeBy }: Move): string => {
  const digest = digestJson({ name, pool, from, to, completeBy });
  return `${name}-${digest.slice(DIGEST_PREFIX_LENGTH, DIGEST_PREFIX_LENGTH + KEY_DIGEST_LENGTH)}`;
};
