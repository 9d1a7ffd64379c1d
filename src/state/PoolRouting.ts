import * as Schema from 'effect/Schema';

/** Which versions of a pool may get new work, derived from configuration, move statuses and verdicts. */
export const PoolRouting = Schema.Struct({
  pool: Schema.NonEmptyString,
  /** Version that gets all work that the candidate doesn't. */
  stable: Schema.NonEmptyString,
  candidate: Schema.optionalKey(
    Schema.Struct({
      move: Schema.NonEmptyString,
      version: Schema.NonEmptyString,
      share: Schema.Finite,
      /** Most requests in flight on the candidate while it has no evidence; 0 lifts the bound. */
      maximumInFlight: Schema.Int,
    }),
  ),
  /** Versions that get no new work at all. */
  condemned: Schema.Array(Schema.String),
});
export type PoolRouting = typeof PoolRouting.Type;
