import * as Schema from 'effect/Schema';

/** State of a move. `done` and `reverted` are final and written once. */
export const MoveState = Schema.Union([
  Schema.TaggedStruct('pending', {}),
  Schema.TaggedStruct('loading', {}),
  Schema.TaggedStruct('staged', { stage: Schema.Int, share: Schema.Finite }),
  Schema.TaggedStruct('done', {}),
  Schema.TaggedStruct('reverted', { reason: Schema.String }),
]);
export type MoveState = typeof MoveState.Type;

/** Status of a move, stored in the platform's object API and exchanged between peers. */
export const MoveStatus = Schema.Struct({
  rollNumber: Schema.Int,
  /** Key of the move, see `moveKey`. */
  move: Schema.NonEmptyString,
  /** Fencing number of the lease under which the status was written. */
  fencing: Schema.Int,
  /** Increases with each change under the same fencing number. */
  sequence: Schema.Int,
  state: MoveState,
});
export type MoveStatus = typeof MoveStatus.Type;
