import type { VersionFinding } from './RolloutEvidence.ts';

/** Time before the deadline at which the final state is written, so that a slow or repeated write is in time. */
const COMPLETION_MARGIN_MS = 1_000;
/**
 * Part of a roll-out's duration in which the target gets all requests while those at the old endpoints end, and its
 * bounds. Requests of plain services end in a fraction of a second, so that the trial can last longer.
 */
const CUTOVER_PART = 0.15;
const CUTOVER_MS = { minimum: 900, maximum: 4_000 } as const;
/** Time for evidence under full load to arrive before a roll-out is completed. */
const MINIMUM_CUTOVER_MS = 700;

/** What the driver of a roll-out knows when it decides. */
export interface RolloutSituation {
  /** Whether requests are long ones of model engines. */
  readonly isEngine: boolean;
  readonly durationMs: number;
  /** Time since the order. */
  readonly ageMs: number;
  /** Time since the cutover began; undefined in the trial. */
  readonly cutoverForMs: number | undefined;
  /** Why the target is bad; undefined while there is no reason. */
  readonly finding: VersionFinding | undefined;
  /** Whether an earlier driver found the target bad. */
  readonly isCondemned: boolean;
  /** What is missing before the target may get all requests; undefined if nothing is. */
  readonly missing: string | undefined;
  /** Whether every gateway sends to the target only, and nothing runs at old endpoints. */
  readonly isDrained: boolean;
  /** Whether the store answered the last call, lately; otherwise the exposure of the target isn't raised. */
  readonly isStoreReached: boolean;
}

/** Next step of a roll-out. */
export type RolloutDecision =
  | { readonly _tag: 'stay'; readonly detail: string }
  | { readonly _tag: 'cutOver'; readonly detail: string }
  | {
      readonly _tag: 'finish';
      readonly state: 'completed' | 'rolledBack';
      readonly detail: string;
    };

const stay = (detail: string): RolloutDecision => ({ _tag: 'stay', detail });

/** Returns for how long the target gets all requests before a roll-out is completed, in ms. */
const cutoverMsOf = ({ durationMs, isEngine }: RolloutSituation): number =>
  isEngine
    ? Math.min(CUTOVER_MS.maximum, Math.max(CUTOVER_MS.minimum, CUTOVER_PART * durationMs))
    : CUTOVER_MS.minimum;

const describe = ({ kind, scope, suspicion, responses, failures }: VersionFinding): string =>
  `${kind} in ${scope}: suspicion ${suspicion.toFixed(2)} after ${responses} responses, ${failures} of them failed`;

const decideTrial = (situation: RolloutSituation): RolloutDecision => {
  const { durationMs, ageMs, missing, isStoreReached } = situation;
  if (!isStoreReached) return stay('the store does not answer');
  const remainingMs = durationMs - ageMs;
  if (missing !== undefined) {
    return remainingMs <= COMPLETION_MARGIN_MS
      ? { _tag: 'finish', state: 'rolledBack', detail: `deadline: ${missing}` }
      : stay(missing);
  }
  return remainingMs <= COMPLETION_MARGIN_MS + cutoverMsOf(situation)
    ? { _tag: 'cutOver', detail: 'sound in the trial' }
    : stay('the trial goes on, as a version may turn bad late');
};

const decideCutover = (situation: RolloutSituation, cutoverForMs: number): RolloutDecision => {
  const { durationMs, ageMs, missing, isDrained } = situation;
  if (cutoverForMs < MINIMUM_CUTOVER_MS) return stay('evidence under full load is awaited');
  if (isDrained && missing === undefined)
    return { _tag: 'finish', state: 'completed', detail: 'nothing runs at old endpoints' };
  // A cutover that began too late, after an outage of the store, still gives requests their time to end.
  const beganInTime = ageMs - cutoverForMs < durationMs - COMPLETION_MARGIN_MS;
  const isDue = beganInTime
    ? durationMs - ageMs <= COMPLETION_MARGIN_MS
    : cutoverForMs >= cutoverMsOf(situation);
  return isDue
    ? { _tag: 'finish', state: 'completed', detail: 'little time is left' }
    : stay(missing ?? 'requests run at old endpoints');
};

/**
 * Decides the next step of a roll-out whose order has no final state.
 *
 * @param situation - what the driver knows
 * @returns the step
 */
export const decideRolloutStep = (situation: RolloutSituation): RolloutDecision => {
  const { finding, isCondemned, cutoverForMs } = situation;
  if (finding !== undefined)
    return { _tag: 'finish', state: 'rolledBack', detail: describe(finding) };
  if (isCondemned)
    return { _tag: 'finish', state: 'rolledBack', detail: 'found bad by an earlier driver' };
  return cutoverForMs === undefined
    ? decideTrial(situation)
    : decideCutover(situation, cutoverForMs);
};
