import type { Move } from '../../state/Move.ts';
import type { MoveState, MoveStatus } from '../../state/MoveStatus.ts';
import type { Verdict } from '../../state/Verdict.ts';

/** `done` is not written later than this before the deadline, so that the write takes effect in time. */
const COMPLETION_MARGIN_MS = 200;

/** Progress of the new version's endpoints in loading it. */
export type LoadProgress =
  | { readonly _tag: 'ready' }
  | { readonly _tag: 'loading'; readonly detail: string }
  | { readonly _tag: 'failed'; readonly detail: string };

/** What the driver of a move knows when it decides the next step. */
export interface MoveStepInput {
  readonly move: Move;
  readonly status: MoveStatus | undefined;
  readonly verdicts: readonly Verdict[];
  readonly load: LoadProgress;
  /** Evidence that the current stage still lacks; undefined once it is complete. */
  readonly missingEvidence: string | undefined;
  /** Monotonic time at which this process saw the current stage start, ms. */
  readonly stageStartedAt: number;
}

/** Next step of the driver of a move. */
export type MoveStep =
  | { readonly _tag: 'wait'; readonly detail: string }
  /** Write a new state. A share is raised only by such a write, under the lease. */
  | { readonly _tag: 'write'; readonly state: MoveState }
  /** Order the new version's endpoints to load it. */
  | { readonly _tag: 'load' }
  /** Condemn the new version for a fault that the driver itself detected. */
  | { readonly _tag: 'condemn'; readonly detail: string }
  | { readonly _tag: 'ended' };

const write = (state: MoveState): MoveStep => ({ _tag: 'write', state });

const revert = (reason: string): MoveStep => write({ _tag: 'reverted', reason });

const describeVerdict = ({ reason, detail }: Verdict): string => `${reason}: ${detail}`;

const enterStage = (move: Move, stage: number): MoveStep => {
  const next = move.stages[stage];
  return next === undefined
    ? write({ _tag: 'done' })
    : write({ _tag: 'staged', stage, share: next.share });
};

const decideStagedStep = (
  { move, missingEvidence, stageStartedAt }: MoveStepInput,
  stage: number,
  now: number,
  remainingMs: number,
): MoveStep => {
  const heldMs = now - stageStartedAt;
  const holdMs = move.stages[stage]?.holdMs ?? 0;
  if (heldMs < holdMs)
    return { _tag: 'wait', detail: `the stage is held for ${holdMs - heldMs} ms more` };
  if (missingEvidence !== undefined) return { _tag: 'wait', detail: missingEvidence };
  const isLast = stage + 1 >= move.stages.length;
  if (isLast && remainingMs < COMPLETION_MARGIN_MS)
    return { _tag: 'wait', detail: 'too close to the deadline to complete' };
  return enterStage(move, stage + 1);
};

const describeDeadline = ({ status, missingEvidence, load }: MoveStepInput): string => {
  const state = status?.state;
  if (state?._tag === 'staged') {
    const missing =
      missingEvidence ?? 'its evidence was in, but the next state was not written in time';
    return `deadline: stage ${state.stage + 1}, ${missing}`;
  }
  return load._tag === 'ready' ? 'deadline: not begun in time' : `deadline: ${load.detail}`;
};

const decideUnfinished = (input: MoveStepInput, now: number, remainingMs: number): MoveStep => {
  const state = input.status?.state ?? { _tag: 'pending' };
  switch (state._tag) {
    case 'pending':
      return write({ _tag: 'loading' });
    case 'loading':
      if (input.load._tag === 'failed') return { _tag: 'condemn', detail: input.load.detail };
      return input.load._tag === 'ready' ? enterStage(input.move, 0) : { _tag: 'load' };
    case 'staged':
      return decideStagedStep(input, state.stage, now, remainingMs);
    case 'done':
    case 'reverted':
      return { _tag: 'ended' };
    default:
      return state satisfies never;
  }
};

/**
 * Decides the next step of a move. A final state never changes; a verdict comes first, then the
 * deadline, then the stages.
 *
 * @param input - what the driver knows of the move
 * @param now - present monotonic time, ms
 * @param wallNow - present Unix time, ms, which the deadline is compared with
 * @returns the next step
 */
export const decideMoveStep = (input: MoveStepInput, now: number, wallNow: number): MoveStep => {
  const state = input.status?.state._tag;
  if (state === 'done' || state === 'reverted') return { _tag: 'ended' };
  const [verdict] = input.verdicts;
  if (verdict !== undefined) return revert(describeVerdict(verdict));
  const remainingMs = Date.parse(input.move.completeBy) - wallNow;
  if (remainingMs <= 0) return revert(describeDeadline(input));
  return decideUnfinished(input, now, remainingMs);
};
