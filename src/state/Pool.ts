import * as Schema from 'effect/Schema';

/** What a pool's endpoints serve: a model by name, or a plain service by path prefix. */
export const PoolKind = Schema.Union([
  Schema.TaggedStruct('model', { model: Schema.NonEmptyString }),
  Schema.TaggedStruct('service', {
    /** Paths below `/services/` that the pool answers, such as `/services/holds`. */
    pathPrefix: Schema.String.check(Schema.isPattern(/^\/services\/[A-Za-z0-9._~-]+$/)),
  }),
]);
export type PoolKind = typeof PoolKind.Type;

/** A set of endpoints that can stand in for one another, scheduled as one. */
export const Pool = Schema.Struct({
  name: Schema.NonEmptyString,
  kind: PoolKind,
  /** The version that serves when no move is under way. */
  version: Schema.NonEmptyString,
});
export type Pool = typeof Pool.Type;
