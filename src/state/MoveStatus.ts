import * as Schema from 'effect/Schema';

/** How far a move is. `done` and `reverted` are final and written once. */
export const MoveState = Schema.Union([
  Schema.TaggedStruct('pending', {}),
  Schema.TaggedStruct('loading', {}),
  Schema.TaggedStruct('staged', { stage: Schema.Int, share: Schema.Finite }),
  Schema.TaggedStruct('done', {}),
  Schema.TaggedStruct('reverted', { reason: Schema.String }),
]);
export type MoveState = typeof MoveState.Type;

/** A move's status as kept in the object service and spread between peers. */
export const MoveStatus = Schema.Struct({
  rollNumber: Schema.Int,
  move: Schema.NonEmptyString,
  /** Fencing number of the lease under which it was written. */
  fencing: Schema.Int,
  /** Grows with each change below one fencing number. */
  sequence: Schema.Int,
  state: MoveState,
});
export type MoveStatus = typeof MoveStatus.Type;
