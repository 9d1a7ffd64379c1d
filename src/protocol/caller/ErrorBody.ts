import * as Schema from 'effect/Schema';
import type { NotRunReason, UnknownOutcomeReason } from '../../state/RequestOutcome.ts';
import type { CallerError } from './CallerService.ts';

/** Outcome of a failed request in the `X-Outcome` header and in the error object. */
export const ErrorOutcome = Schema.Literals(['not-run', 'unknown']);
export type ErrorOutcome = typeof ErrorOutcome.Type;

/** Body of every error response that doesn't come from an endpoint. */
export const ErrorBody = Schema.Struct({
  error: Schema.Struct({
    /** Stable, machine-readable error code. */
    code: Schema.String,
    message: Schema.String,
    type: Schema.Literals(['invalid_request_error', 'not_run_error', 'unknown_outcome_error']),
    /** Null if the response doesn't state whether a request with this id ran. */
    outcome: Schema.NullOr(ErrorOutcome),
    /** Suggested delay before a retry; null unless `type` is `not_run_error`. */
    retry_after_ms: Schema.NullOr(Schema.Int),
  }),
});
export type ErrorBody = typeof ErrorBody.Type;

const NOT_RUN_MESSAGES: Record<NotRunReason, string> = {
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

const UNKNOWN_OUTCOME_MESSAGES: Record<UnknownOutcomeReason, string> = {
  endpoint_failed: 'The endpoint failed after it got the request; it may have run.',
  answer_cut: 'The answer broke off before its end; the request may have run.',
  answer_crossed: 'The endpoint answered another request; this one may have run.',
  entry_lost: 'The entry that owned the request is gone; the request may have run.',
  deadline_passed: 'The deadline passed while the request ran; it may have run to its end.',
  caller_left: 'The caller left while the request ran; it may have run to its end.',
};

/**
 * Returns the HTTP status code for a request that was not run.
 *
 * @param reason - why the request was not run
 * @returns 429, 503 or 504
 */
export const notRunStatusCode = (reason: NotRunReason): number => {
  if (reason === 'account_limit') return 429;
  return reason === 'deadline_too_short' || reason === 'deadline_passed' ? 504 : 503;
};

/**
 * Returns the HTTP status code for a request that may have run.
 *
 * @param reason - why the outcome is unknown
 * @returns 502 or 504
 */
export const unknownOutcomeStatusCode = (reason: UnknownOutcomeReason): number =>
  reason === 'deadline_passed' ? 504 : 502;

/**
 * Builds the error body for a request that was not run.
 *
 * @param reason - why the request was not run
 * @param retryAfterMs - suggested delay before a retry, rounded up to whole ms
 * @returns the error body
 */
export const notRunBody = (reason: NotRunReason, retryAfterMs: number): ErrorBody => ({
  error: {
    code: reason,
    message: NOT_RUN_MESSAGES[reason],
    type: 'not_run_error',
    outcome: 'not-run',
    retry_after_ms: Math.ceil(retryAfterMs),
  },
});

/**
 * Builds the error body for a request that may have run.
 *
 * @param reason - why the outcome is unknown
 * @returns the error body
 */
export const unknownOutcomeBody = (reason: UnknownOutcomeReason): ErrorBody => ({
  error: {
    code: reason,
    message: UNKNOWN_OUTCOME_MESSAGES[reason],
    type: 'unknown_outcome_error',
    outcome: 'unknown',
    retry_after_ms: null,
  },
});

/**
 * Builds the error body for a request that the entry rejects because of the request itself.
 *
 * @param error - code and message, and whether to omit the outcome
 * @returns the error body
 */
export const callerErrorBody = ({
  code,
  message,
  outcomeOmitted: omitOutcome,
}: Omit<CallerError, 'status'>): ErrorBody => ({
  error: {
    code,
    message,
    type: 'invalid_request_error',
    outcome: omitOutcome ? null : 'not-run',
    retry_after_ms: null,
  },
});
