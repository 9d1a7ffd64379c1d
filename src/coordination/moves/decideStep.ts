import type { Move } from '../../state/Move.ts';
import type { MoveState, MoveStatus } from '../../state/MoveStatus.ts';
import type { Verdict } from '../../state/Verdict.ts';

/** Before the deadline by this much `done` is no longer begun: its write must settle in time. */
const DONE_MARGIN_MS = 200;

/** How far the new version's endpoints are loaded. */
export type LoadState =
  | { readonly _tag: 'ready' }
  | { readonly _tag: 'loading'; readonly detail: string }
  | { readonly _tag: 'failed'; readonly detail: string };

/** What a driver knows when it decides. */
export interface StepInput {
  readonly move: Move;
  readonly status: MoveStatus | undefined;
  readonly verdicts: readonly Verdict[];
  readonly load: LoadState;
  /** What the stage under way still lacks; undefined where its evidence is in. */
  readonly missingEvidence: string | undefined;
  /** When the stage under way began here, monotonic ms. */
  readonly stageSince: number;
}

/** What a driver does next. */
export type Step =
  | { readonly _tag: 'wait'; readonly detail: string }
  /** Write a new state; raising a share is only ever done so, under the lease. */
  | { readonly _tag: 'write'; readonly state: MoveState }
  /** Order the new version's endpoints to load it. */
  | { readonly _tag: 'load' }
  /** A fault that the driver itself found. */
  | { readonly _tag: 'condemn'; readonly detail: string }
  | { readonly _tag: 'ended' };

const write = (state: MoveState): Step => ({ _tag: 'write', state });

const revert = (reason: string): Step => write({ _tag: 'reverted', reason });

const describeVerdict = ({ reason, detail }: Verdict): string => `${reason}: ${detail}`;

const enterStage = (move: Move, stage: number): Step => {
  const next = move.stages[stage];
  return next === undefined
    ? write({ _tag: 'done' })
    : write({ _tag: 'staged', stage, share: next.share });
};

const leaveStage = (
  { move, missingEvidence: lack, stageSince }: StepInput,
  stage: number,
  now: number,
  leftMs: number,
): Step => {
  const heldMs = now - stageSince;
  const holdMs = move.stages[stage]?.holdMs ?? 0;
  if (heldMs < holdMs) return { _tag: 'wait', detail: `holds for ${holdMs - heldMs} ms more` };
  if (lack !== undefined) return { _tag: 'wait', detail: lack };
  const isLast = stage + 1 >= move.stages.length;
  if (isLast && leftMs < DONE_MARGIN_MS) return { _tag: 'wait', detail: 'too late to end' };
  return enterStage(move, stage + 1);
};

const describeDeadline = ({ status, missingEvidence: lack, load }: StepInput): string => {
  const state = status?.state;
  if (state?._tag === 'staged') {
    const missing = lack ?? 'its evidence was in, but the next state was not written in time';
    return `deadline: stage ${state.stage + 1}, ${missing}`;
  }
  return load._tag === 'ready' ? 'deadline: not begun in time' : `deadline: ${load.detail}`;
};

const stepUnended = (input: StepInput, now: number, leftMs: number): Step => {
  const state = input.status?.state ?? { _tag: 'pending' };
  switch (state._tag) {
    case 'pending':
      return write({ _tag: 'loading' });
    case 'loading':
      if (input.load._tag === 'failed') return { _tag: 'condemn', detail: input.load.detail };
      return input.load._tag === 'ready' ? enterStage(input.move, 0) : { _tag: 'load' };
    case 'staged':
      return leaveStage(input, state.stage, now, leftMs);
    case 'done':
    case 'reverted':
      return { _tag: 'ended' };
    default:
      return state satisfies never;
  }
};

/**
 * Decides the next step of a move. A verdict and the deadline go before everything else; a state
 * that is final stays.
 *
 * @param input - what the driver knows
 * @param now - present monotonic time in ms
 * @param wallNow - present Unix time in ms, for the deadline
 * @returns the step
 */
export const decideStep = (input: StepInput, now: number, wallNow: number): Step => {
  const state = input.status?.state._tag;
  if (state === 'done' || state === 'reverted') return { _tag: 'ended' };
  const [verdict] = input.verdicts;
  if (verdict !== undefined) return revert(describeVerdict(verdict));
  const leftMs = Date.parse(input.move.completeBy) - wallNow;
  if (leftMs <= 0) return revert(describeDeadline(input));
  return stepUnended(input, now, leftMs);
};
