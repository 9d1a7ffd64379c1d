import * as Schema from 'effect/Schema';
import type { NotRunReason, UnknownOutcomeReason } from '../../state/RequestOutcome.ts';
import type { CallerError } from './CallerService.ts';

/** Outcome as told in the `X-Outcome` header and in the error object. */
export const ErrorOutcome = Schema.Literals(['not-run', 'unknown']);
export type ErrorOutcome = typeof ErrorOutcome.Type;

/** Error object of every answer that isn't the endpoint's own. */
export const ErrorBody = Schema.Struct({
  error: Schema.Struct({
    /** Stable, for programs. */
    code: Schema.String,
    message: Schema.String,
    type: Schema.Literals(['invalid_request_error', 'not_run_error', 'unknown_outcome_error']),
    /** Null where the answer says nothing of whether a request of the id ran. */
    outcome: Schema.NullOr(ErrorOutcome),
    retry_after_ms: Schema.NullOr(Schema.Int),
  }),
});
export type ErrorBody = typeof ErrorBody.Type;

const NOT_RUN_TEXT: Record<NotRunReason, string> = {
  overloaded: 'No capacity is free for this tier now; the request was not run.',
  deadline_too_short: 'The request cannot finish before its deadline; it was not run.',
  deadline_passed: 'The deadline passed while the request waited; it was not run.',
  account_limit: 'The client account is at its limit; the request was not run.',
  draining: 'The entry is shutting down; the request was not run. Use another entry.',
  no_endpoint: 'No endpoint serves this model or path now; the request was not run.',
  no_configuration: 'The entry has no configuration yet; the request was not run.',
  entry_lost: 'The entry that owned the request is gone; the request was not run.',
  caller_left: 'The caller left while the request waited; it was not run.',
  endpoint_refused: 'Every endpoint refused the connection; the request was not run.',
};

const UNKNOWN_TEXT: Record<UnknownOutcomeReason, string> = {
  endpoint_failed: 'The endpoint failed after it got the request; it may have run.',
  answer_cut: 'The answer broke off before its end; the request may have run.',
  answer_crossed: 'The endpoint answered another request; this one may have run.',
  entry_lost: 'The entry that owned the request is gone; the request may have run.',
  deadline_passed: 'The deadline passed while the request ran; it may have run to its end.',
  caller_left: 'The caller left while the request ran; it may have run to its end.',
};

/**
 * Gives the status code for a request that was not run.
 *
 * @param reason - why it was not run
 * @returns an HTTP status code
 */
export const notRunStatus = (reason: NotRunReason): number => {
  if (reason === 'account_limit') return 429;
  return reason === 'deadline_too_short' || reason === 'deadline_passed' ? 504 : 503;
};

/**
 * Gives the status code for a request that may have run.
 *
 * @param reason - why it isn't known
 * @returns an HTTP status code
 */
export const unknownStatus = (reason: UnknownOutcomeReason): number =>
  reason === 'deadline_passed' ? 504 : 502;

/**
 * Words the error object of a request that was not run.
 *
 * @param reason - why it was not run
 * @param retryAfterMs - time after which another try makes sense
 * @returns the body
 */
export const notRunBody = (reason: NotRunReason, retryAfterMs: number): ErrorBody => ({
  error: {
    code: reason,
    message: NOT_RUN_TEXT[reason],
    type: 'not_run_error',
    outcome: 'not-run',
    retry_after_ms: Math.ceil(retryAfterMs),
  },
});

/**
 * Words the error object of a request that may have run.
 *
 * @param reason - why it isn't known
 * @returns the body
 */
export const unknownBody = (reason: UnknownOutcomeReason): ErrorBody => ({
  error: {
    code: reason,
    message: UNKNOWN_TEXT[reason],
    type: 'unknown_outcome_error',
    outcome: 'unknown',
    retry_after_ms: null,
  },
});

/**
 * Words the error object of a request that is refused as it stands.
 *
 * @param error - what is wrong, and what would do
 * @returns the body
 */
export const refusalBody = ({
  code,
  message,
  outcomeOmitted: outcomeUnsaid,
}: Omit<CallerError, 'status'>): ErrorBody => ({
  error: {
    code,
    message,
    type: 'invalid_request_error',
    outcome: outcomeUnsaid ? null : 'not-run',
    retry_after_ms: null,
  },
});
