import type { RestPlay, RestResult } from './playRests.ts';

/** The users' rule BUDGET: most requests in a rest. */
const MOST_IN_REST = 2;
/** While some endpoints ask for something, and after, the others serve as before. */
const LEAST_SHARE = 0.9;

/**
 * Tells whether a play kept its bounds.
 *
 * @param play - the play
 * @param result - what came of it
 * @returns false if one was broken
 */
export const keepsRests = (
  { endpoints, shape, disturbance }: RestPlay,
  result: RestResult,
): boolean => {
  const allRest = shape._tag === 'resting' && shape.endpoints === endpoints;
  const isCalm = disturbance._tag === 'none';
  return (
    result.mostInRest <= MOST_IN_REST &&
    result.afterLeaving === 0 &&
    result.falselyRefused === 0 &&
    result.refusalsWithRetryAfter === 1 &&
    (allRest || !isCalm || result.servedShareAsking >= LEAST_SHARE) &&
    (!isCalm || result.servedShareAfter >= LEAST_SHARE)
  );
};
