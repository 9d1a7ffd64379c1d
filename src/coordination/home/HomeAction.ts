import type { Grant } from '../../protocol/peer/PeerMessage.ts';
import type { RequestOutcome } from '../../state/RequestOutcome.ts';
import type { Action } from '../Action.ts';
import type { HomeRequest } from './RequestRecord.ts';

/** What a home wants done: the common actions, and actions on its own calls to endpoints and callers. */
export type HomeAction =
  | Action
  /** Write the request to the endpoint within the same event-loop turn, while the lease is known to hold. */
  | { readonly _tag: 'dispatch'; readonly request: HomeRequest; readonly grant: Grant }
  | { readonly _tag: 'cancelCall'; readonly id: string }
  | { readonly _tag: 'suspendCall'; readonly id: string }
  | { readonly _tag: 'resumeCall'; readonly id: string }
  /** Report the outcome to the caller, unless the forwarded answer already conveys it. */
  | { readonly _tag: 'finish'; readonly id: string; readonly outcome: RequestOutcome };

/** Result of acquiring quota of a client account. */
export type QuotaResult =
  | { readonly _tag: 'admitted' }
  /** The account's quota owner must reply first; the actions send it a quota request. */
  | { readonly _tag: 'asked'; readonly actions: readonly Action[] }
  | { readonly _tag: 'refused'; readonly retryAfterMs: number };

/** What a home needs from the other parts of its process. */
export interface HomeDependencies {
  /** Present incarnation of this process. */
  readonly incarnation: () => string;
  /** Whether the lease of this process allows a dispatch now; `now` is monotonic time, ms. */
  readonly mayDispatch: (now: number) => boolean;
  /** Whether a version may get new requests, which it may until a known verdict condemns it. */
  readonly mayUseVersion: (pool: string, version: string) => boolean;
  /** Finds the incarnation that schedules a pool, leaving out an excluded one. */
  readonly findScheduler: (pool: string, now: number, excluded?: string) => string | undefined;
  /** Acquires quota for one request with its counted tokens. */
  readonly acquireQuota: (account: string, tokens: number, now: number) => QuotaResult;
  /** Releases acquired quota, given the tokens used and the tokens counted at admission. */
  readonly releaseQuota: (
    account: string,
    tokensUsed: number,
    tokensCounted: number,
    now: number,
  ) => void;
  /** Retry delay for a caller, ms, randomised so that callers don't retry at the same time. */
  readonly randomRetryAfterMs: () => number;
}
