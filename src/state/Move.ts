import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';

/** One step of a move: the share of the pool's requests that the new version gets. */
export const MoveStage = Schema.Struct({
  share: Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 1 })),
  /** Least time at this share before the next stage. */
  holdMs: Schema.Int.check(Schema.isGreaterThanOrEqualTo(0)),
  /** Completed requests on the new version that the next stage needs as evidence. */
  minimumSamples: Schema.Int.check(Schema.isGreaterThanOrEqualTo(0)),
});
export type MoveStage = typeof MoveStage.Type;

const DEFAULT_STAGES: readonly MoveStage[] = [
  { share: 0.02, holdMs: 2_000, minimumSamples: 20 },
  { share: 0.1, holdMs: 2_000, minimumSamples: 40 },
  { share: 0.5, holdMs: 2_000, minimumSamples: 80 },
  { share: 1, holdMs: 2_000, minimumSamples: 80 },
];

/** A change of a pool from one version to another, to be done or taken back by a set time. */
export const Move = Schema.Struct({
  name: Schema.NonEmptyString,
  pool: Schema.NonEmptyString,
  from: Schema.NonEmptyString,
  to: Schema.NonEmptyString,
  /** RFC 3339 time at which the move is done, or is taken back. */
  completeBy: Schema.String.check(
    Schema.isPattern(/^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)$/),
  ),
  stages: Schema.Array(MoveStage).pipe(
    Schema.withDecodingDefaultKey(Effect.succeed(DEFAULT_STAGES)),
  ),
  /** Requests that the new version may hold in flight before its first evidence is in. */
  maximumUnproven: Schema.Int.check(Schema.isGreaterThan(0)).pipe(
    Schema.withDecodingDefaultKey(Effect.succeed(4)),
  ),
});
export type Move = typeof Move.Type;
