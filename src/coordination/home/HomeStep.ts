import type { Grant } from '../../protocol/peer/PeerMessage.ts';
import type { RequestOutcome } from '../../state/RequestOutcome.ts';
import type { Action } from '../Action.ts';
import type { HomeRequest } from './RequestRecord.ts';

/** What a home wants done: the common actions, and steps on its own calls to endpoints and callers. */
export type HomeAction =
  | Action
  /** Write the request to the endpoint, in this same turn of the loop. */
  | { readonly _tag: 'dispatch'; readonly request: HomeRequest; readonly grant: Grant }
  | { readonly _tag: 'cancelCall'; readonly id: string }
  | { readonly _tag: 'suspendCall'; readonly id: string }
  | { readonly _tag: 'resumeCall'; readonly id: string }
  /** Tell the caller what became of the request, unless the answer itself has told it. */
  | { readonly _tag: 'finish'; readonly id: string; readonly outcome: RequestOutcome };

/** How an account's quota answered. */
export type QuotaAnswer =
  | { readonly _tag: 'admitted' }
  /** The owner has to be heard first: the actions ask it. */
  | { readonly _tag: 'asked'; readonly actions: readonly Action[] }
  | { readonly _tag: 'refused'; readonly retryAfterMs: number };

/** What a home needs to know from the machines beside it. */
export interface HomeSurroundings {
  /** Incarnation that this process has now. */
  readonly incarnation: () => string;
  /** Whether this process may dispatch at this instant, by its lease. */
  readonly mayDispatch: (now: number) => boolean;
  /** Whether a version may get new work, by the verdicts known here. */
  readonly mayUseVersion: (pool: string, version: string) => boolean;
  readonly findScheduler: (pool: string, now: number, excluded?: string) => string | undefined;
  readonly acquireQuota: (account: string, tokens: number, now: number) => QuotaAnswer;
  /** Gives back what was acquired: tokens used in fact, and tokens counted when it was admitted. */
  readonly releaseQuota: (
    account: string,
    tokensUsed: number,
    tokensCounted: number,
    now: number,
  ) => void;
  /** Milliseconds to tell a caller to wait, spread so that callers don't come back together. */
  readonly randomRetryAfterMs: () => number;
}
