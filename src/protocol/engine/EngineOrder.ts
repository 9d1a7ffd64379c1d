import * as Schema from 'effect/Schema';

/** What an engine can be ordered to do. Each order states the wanted end, so a repeat does no harm. */
export const EngineCommand = Schema.Union([
  Schema.TaggedStruct('loadVersion', { version: Schema.NonEmptyString }),
  Schema.TaggedStruct('unloadVersion', { version: Schema.NonEmptyString }),
  Schema.TaggedStruct('loadAdapter', { adapter: Schema.NonEmptyString }),
  Schema.TaggedStruct('setRole', { role: Schema.Literals(['mixed', 'prefill', 'decode']) }),
]);
export type EngineCommand = typeof EngineCommand.Type;

/** An order with the fencing number of the lease under which it was given. */
export const EngineOrder = Schema.Struct({
  orderId: Schema.NonEmptyString,
  fencing: Schema.Int,
  command: EngineCommand,
});
export type EngineOrder = typeof EngineOrder.Type;

/** State of one version on an engine. */
export const VersionState = Schema.Struct({
  version: Schema.NonEmptyString,
  state: Schema.Literals(['loading', 'ready', 'failed']),
});
export type VersionState = typeof VersionState.Type;

/** What an engine answered to an order. */
export type OrderOutcome =
  | { readonly _tag: 'accepted'; readonly versions: readonly VersionState[] }
  | { readonly _tag: 'fenced'; readonly fencing: number }
  | { readonly _tag: 'refused'; readonly detail: string }
  | { readonly _tag: 'unsettled'; readonly detail: string };
