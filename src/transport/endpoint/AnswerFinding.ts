import type { EndpointEvent, TokenUsage } from '../../protocol/engine/EndpointClient.ts';

/** Why an answer can't be told as whole. */
export type FailureReason = Extract<EndpointEvent, { _tag: 'failed' }>['reason'];

/** What an answer reader found in the bytes given to it. */
export type AnswerFinding =
  | { readonly _tag: 'more' }
  | { readonly _tag: 'ended'; readonly usage: TokenUsage | undefined }
  /** The rest can be had by another resume. */
  | { readonly _tag: 'incomplete'; readonly detail: string }
  | { readonly _tag: 'failed'; readonly reason: FailureReason; readonly detail: string };
