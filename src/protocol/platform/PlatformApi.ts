import type * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';

/** Kinds of objects that corianderwick reads or writes through the platform's object API. */
export type ObjectKind =
  'bundles' | 'approvals' | 'rolls' | 'movestatuses' | 'leases' | 'instances';

/** An object with its version, which conditional writes refer to. */
export interface StoredObject {
  readonly kind: ObjectKind;
  readonly name: string;
  /** Opaque; may only be compared for equality. */
  readonly resourceVersion: string;
  readonly value: unknown;
}

/** Result of reading an object. */
export type ReadOutcome =
  | { readonly _tag: 'found'; readonly object: StoredObject }
  | { readonly _tag: 'absent' }
  | { readonly _tag: 'unavailable'; readonly detail: string };

/** Result of listing a collection, with the collection's version to watch from. */
export type ListOutcome =
  | {
      readonly _tag: 'listed';
      readonly objects: readonly StoredObject[];
      readonly resourceVersion: string;
    }
  | { readonly _tag: 'unavailable'; readonly detail: string };

/**
 * Result of a conditional write. `conflict` means that the condition didn't hold; after `unsettled` the
 * write may or may not have taken effect.
 */
export type WriteOutcome =
  | { readonly _tag: 'written'; readonly object: StoredObject }
  | { readonly _tag: 'conflict' }
  | { readonly _tag: 'rejected'; readonly detail: string }
  | { readonly _tag: 'unsettled'; readonly detail: string };

/**
 * An event of a watch. `gone` (the version to watch from is too old) and `broken` end the watch; the
 * collection must be listed again.
 */
export type WatchEvent =
  | { readonly _tag: 'put'; readonly object: StoredObject }
  | { readonly _tag: 'deleted'; readonly object: StoredObject }
  | { readonly _tag: 'gone' }
  | { readonly _tag: 'broken'; readonly detail: string };

/** Client of the platform's object API. No effect fails: an outage is part of the result. */
export interface PlatformApi {
  /** Reads an object. */
  readonly read: (kind: ObjectKind, name: string) => Effect.Effect<ReadOutcome>;
  /** Lists all objects of a kind. */
  readonly list: (kind: ObjectKind) => Effect.Effect<ListOutcome>;
  /** Creates an object; the result is `conflict` if it exists. */
  readonly create: (kind: ObjectKind, name: string, value: unknown) => Effect.Effect<WriteOutcome>;
  /** Replaces an object; the result is `conflict` if its version isn't `resourceVersion`. */
  readonly replace: (
    kind: ObjectKind,
    name: string,
    value: unknown,
    resourceVersion: string,
  ) => Effect.Effect<WriteOutcome>;
  /** Watches a collection from a version until the scope closes or an event ends the watch. */
  readonly watch: (
    kind: ObjectKind,
    resourceVersion: string,
    onEvent: (event: WatchEvent) => void,
  ) => Effect.Effect<void, never, Scope.Scope>;
}
