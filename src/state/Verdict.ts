import * as Schema from 'effect/Schema';

/** Evidence by which a version was found to be faulty. */
export const VerdictReason = Schema.Literals(['failures', 'latency', 'load_failed', 'deadline']);
export type VerdictReason = typeof VerdictReason.Type;

/** An entry's conclusion that a version is faulty. Verdicts are never withdrawn; a newer roll clears them. */
export const Verdict = Schema.Struct({
  rollNumber: Schema.Int,
  /** Key of the move, see `moveKey`. */
  move: Schema.NonEmptyString,
  pool: Schema.NonEmptyString,
  version: Schema.NonEmptyString,
  /** Incarnation that reached the verdict. */
  finder: Schema.NonEmptyString,
  reason: VerdictReason,
  /** Description of the evidence, for operators. */
  detail: Schema.String,
});
export type Verdict = typeof Verdict.Type;
