import * as Schema from 'effect/Schema';

/** A command to an engine. Each command states the desired state, so repeating it is harmless. */
export const EngineCommand = Schema.Union([
  Schema.TaggedStruct('loadVersion', { version: Schema.NonEmptyString }),
  Schema.TaggedStruct('unloadVersion', { version: Schema.NonEmptyString }),
  Schema.TaggedStruct('loadAdapter', { adapter: Schema.NonEmptyString }),
  Schema.TaggedStruct('setRole', { role: Schema.Literals(['mixed', 'prefill', 'decode']) }),
]);
export type EngineCommand = typeof EngineCommand.Type;

/** A command with an id and the fencing number of the lease under which it was sent. */
export const EngineOrder = Schema.Struct({
  orderId: Schema.NonEmptyString,
  fencing: Schema.Int,
  command: EngineCommand,
});
export type EngineOrder = typeof EngineOrder.Type;

/** Loading state of one version on an engine. */
export const VersionState = Schema.Struct({
  version: Schema.NonEmptyString,
  state: Schema.Literals(['loading', 'ready', 'failed']),
});
export type VersionState = typeof VersionState.Type;

/** Result of sending an order to an engine. */
export type OrderOutcome =
  | { readonly _tag: 'accepted'; readonly versions: readonly VersionState[] }
  /** The engine has seen a newer fencing number, so the order is stale. */
  | { readonly _tag: 'fenced'; readonly fencing: number }
  | { readonly _tag: 'refused'; readonly detail: string }
  /** The order may or may not have taken effect. */
  | { readonly _tag: 'unsettled'; readonly detail: string };
