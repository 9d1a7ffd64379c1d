import * as Schema from 'effect/Schema';

/** What showed that a version is bad. */
export const VerdictReason = Schema.Literals(['failures', 'latency', 'load_failed', 'deadline']);
export type VerdictReason = typeof VerdictReason.Type;

/** One entry's finding against a version. Findings only accumulate; a newer roll clears them. */
export const Verdict = Schema.Struct({
  rollNumber: Schema.Int,
  move: Schema.NonEmptyString,
  pool: Schema.NonEmptyString,
  version: Schema.NonEmptyString,
  /** Incarnation that found it. */
  finder: Schema.NonEmptyString,
  reason: VerdictReason,
  /** Evidence in words, for operators. */
  detail: Schema.String,
});
export type Verdict = typeof Verdict.Type;
