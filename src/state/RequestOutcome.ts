import * as Schema from 'effect/Schema';

/** Why a request was certainly not run. */
export const NotRunReason = Schema.Literals([
  'overloaded',
  'deadline_too_short',
  'deadline_passed',
  'account_limit',
  'draining',
  'no_endpoint',
  'no_configuration',
  'entry_lost',
  'caller_left',
  'endpoint_refused',
]);
export type NotRunReason = typeof NotRunReason.Type;

/** Why it isn't known whether a request ran to its end. */
export const UnknownOutcomeReason = Schema.Literals([
  'endpoint_failed',
  'answer_cut',
  'answer_crossed',
  'entry_lost',
  'deadline_passed',
  'caller_left',
]);
export type UnknownOutcomeReason = typeof UnknownOutcomeReason.Type;

/** What became of a request: exactly one of the three, and never changed once told. */
export const RequestOutcome = Schema.Union([
  Schema.TaggedStruct('completed', { endpoint: Schema.String, version: Schema.String }),
  Schema.TaggedStruct('notRun', { reason: NotRunReason, retryAfterMs: Schema.Int }),
  Schema.TaggedStruct('unknown', { reason: UnknownOutcomeReason }),
]);
export type RequestOutcome = typeof RequestOutcome.Type;

/** A request's state as told to someone who asks for its id. */
export const RequestStatus = Schema.Union([
  Schema.TaggedStruct('waiting', {}),
  Schema.TaggedStruct('dispatched', { endpoint: Schema.String }),
  Schema.TaggedStruct('ended', { outcome: RequestOutcome }),
]);
export type RequestStatus = typeof RequestStatus.Type;
