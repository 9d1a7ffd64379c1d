import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';

/** A stage of a move: the share of the pool's requests that the new version receives. */
export const MoveStage = Schema.Struct({
  share: Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 1 })),
  /** Minimum time at this share before the next stage. */
  holdMs: Schema.Int.check(Schema.isGreaterThanOrEqualTo(0)),
  /** Completed requests on the new version that the next stage requires as evidence. */
  minimumSamples: Schema.Int.check(Schema.isGreaterThanOrEqualTo(0)),
});
export type MoveStage = typeof MoveStage.Type;

const DEFAULT_STAGES: readonly MoveStage[] = [
  { share: 0.02, holdMs: 2_000, minimumSamples: 20 },
  { share: 0.1, holdMs: 2_000, minimumSamples: 40 },
  { share: 0.5, holdMs: 2_000, minimumSamples: 80 },
  { share: 1, holdMs: 2_000, minimumSamples: 80 },
];

/** A change of a pool from one version to another that is completed or reverted by a deadline. */
export const Move = Schema.Struct({
  name: Schema.NonEmptyString,
  pool: Schema.NonEmptyString,
  from: Schema.NonEmptyString,
  to: Schema.NonEmptyString,
  /** RFC 3339 deadline by which the move is done or reverted. */
  completeBy: Schema.String.check(
    Schema.isPattern(/^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)$/),
  ),
  stages: Schema.Array(MoveStage).pipe(
    Schema.withDecodingDefaultKey(Effect.succeed(DEFAULT_STAGES)),
  ),
  /** Upper limit of requests in flight on the new version during the first stage. */
  maximumUnproven: Schema.Int.check(Schema.isGreaterThan(0)).pipe(
    Schema.withDecodingDefaultKey(Effect.succeed(4)),
  ),
});
export type Move = typeof Move.Type;
