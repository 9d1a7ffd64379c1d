import { digestJson } from './canonicalJson.ts';
import type { Move } from './Move.ts';

const DIGEST_PREFIX_LENGTH = 'sha256:'.length;
const KEY_DIGEST_LENGTH = 10;

/**
 * Names a move by its terms. A bundle that leaves a move as it was, keeps its status and verdicts;
 * another deadline, version or name makes it another move.
 *
 * @param move - a move of a bundle
 * @returns the move's name with a short digest of its terms
 */
export const moveKey = ({ name, pool, from, to, completeBy }: Move): string => {
  const digest = digestJson({ name, pool, from, to, completeBy });
  return `${name}-${digest.slice(DIGEST_PREFIX_LENGTH, DIGEST_PREFIX_LENGTH + KEY_DIGEST_LENGTH)}`;
};
