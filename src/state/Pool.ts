import * as Schema from 'effect/Schema';

/** What a pool's endpoints serve: a model by name, or a plain service by path prefix. */
export const PoolKind = Schema.Union([
  Schema.TaggedStruct('model', { model: Schema.NonEmptyString }),
  Schema.TaggedStruct('service', {
    /** Path below `/services/` whose requests the pool serves, such as `/services/holds`. */
    pathPrefix: Schema.String.check(Schema.isPattern(/^\/services\/[A-Za-z0-9._~-]+$/)),
  }),
]);
export type PoolKind = typeof PoolKind.Type;

/** A set of interchangeable endpoints that are scheduled together. */
export const Pool = Schema.Struct({
  name: Schema.NonEmptyString,
  kind: PoolKind,
  /** The version that serves when no move is in progress. */
  version: Schema.NonEmptyString,
});
export type Pool = typeof Pool.Type;
