import type { ReachPlay, ReachResult } from './playReach.ts';

/** The users' rule RECOVER: cut gateways serve two thirds as often as the others at least. */
const LEAST_RELATIVE_SHARE = 2 / 3;
/** The others are served as before, but for what a disturbance and a burst cost. */
const LEAST_SHARE_OTHERS = 0.8;
const LEAST_SHARE_AFTER = 0.95;

/**
 * Tells whether a play kept its bounds.
 *
 * @param play - the play
 * @param result - what came of it
 * @returns false if one was broken
 */
export const keepsReach = (
  { gateways, cut, disturbance }: ReachPlay,
  result: ReachResult,
): boolean => {
  const isAllCut = cut.length === gateways;
  const endpointsCrash = disturbance._tag === 'endpointsCrash';
  return (
    (isAllCut || result.servedShareCut >= LEAST_RELATIVE_SHARE * result.servedShareOthers) &&
    (isAllCut || result.servedShareOthers >= LEAST_SHARE_OTHERS) &&
    result.servedShareAfter >= LEAST_SHARE_AFTER &&
    result.doubleRuns === 0 &&
    result.falselyRefused === 0 &&
    result.wrongAnswers === 0 &&
    (endpointsCrash || result.reportedCrashes === 0) &&
    result.quarantined === 0
  );
};
