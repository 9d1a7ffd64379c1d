import * as Schema from 'effect/Schema';

/** Why a request was not run. */
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

/** Why it is unknown whether a request ran. */
export const UnknownOutcomeReason = Schema.Literals([
  'endpoint_failed',
  'answer_cut',
  'answer_crossed',
  'entry_lost',
  'deadline_passed',
  'caller_left',
]);
export type UnknownOutcomeReason = typeof UnknownOutcomeReason.Type;

/** Final outcome of a request; never changed once reported. */
export const RequestOutcome = Schema.Union([
  Schema.TaggedStruct('completed', { endpoint: Schema.String, version: Schema.String }),
  Schema.TaggedStruct('notRun', { reason: NotRunReason, retryAfterMs: Schema.Int }),
  Schema.TaggedStruct('unknown', { reason: UnknownOutcomeReason }),
]);
export type RequestOutcome = typeof RequestOutcome.Type;

/** Status of a request, as reported to a caller or peer that asks for its id. */
export const RequestStatus = Schema.Union([
  Schema.TaggedStruct('waiting', {}),
  Schema.TaggedStruct('dispatched', { endpoint: Schema.String }),
  Schema.TaggedStruct('ended', { outcome: RequestOutcome }),
]);
export type RequestStatus = typeof RequestStatus.Type;
