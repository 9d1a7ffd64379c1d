import * as Schema from 'effect/Schema';

/** Versions of a pool that receive new requests, derived from the configuration, move statuses and verdicts. */
export const PoolRouting = Schema.Struct({
  pool: Schema.NonEmptyString,
  /** Version that receives all requests that the candidate doesn't. */
  stable: Schema.NonEmptyString,
  /** The new version of a move in progress, with its share of the requests. */
  candidate: Schema.optionalKey(
    Schema.Struct({
      move: Schema.NonEmptyString,
      version: Schema.NonEmptyString,
      share: Schema.Finite,
      /** Upper limit of requests in flight on the candidate during the first stage; 0 means no limit. */
      maximumInFlight: Schema.Int,
    }),
  ),
  /** Versions that receive no new requests. */
  condemned: Schema.Array(Schema.String),
});
export type PoolRouting = typeof PoolRouting.Type;
