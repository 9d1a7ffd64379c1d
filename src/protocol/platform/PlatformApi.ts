import type * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';

/** Kinds of object that the system keeps or reads in the platform's object API. */
export type ObjectKind =
  'bundles' | 'approvals' | 'rolls' | 'movestatuses' | 'leases' | 'instances';

/** An object with the version that a conditional write names. */
export interface StoredObject {
  readonly kind: ObjectKind;
  readonly name: string;
  /** Opaque; only equality means anything. */
  readonly resourceVersion: string;
  readonly value: unknown;
}

/** What a read gave. */
export type ReadOutcome =
  | { readonly _tag: 'found'; readonly object: StoredObject }
  | { readonly _tag: 'absent' }
  | { readonly _tag: 'unavailable'; readonly detail: string };

/** What a listing gave, with the collection's version to watch from. */
export type ListOutcome =
  | {
      readonly _tag: 'listed';
      readonly objects: readonly StoredObject[];
      readonly resourceVersion: string;
    }
  | { readonly _tag: 'unavailable'; readonly detail: string };

/** What a conditional write gave. After `unsettled` it may or may not have taken effect. */
export type WriteOutcome =
  | { readonly _tag: 'written'; readonly object: StoredObject }
  | { readonly _tag: 'conflict' }
  | { readonly _tag: 'rejected'; readonly detail: string }
  | { readonly _tag: 'unsettled'; readonly detail: string };

/** One event of a watch. After `gone` or `broken` the watch has ended: list anew. */
export type WatchEvent =
  | { readonly _tag: 'put'; readonly object: StoredObject }
  | { readonly _tag: 'deleted'; readonly object: StoredObject }
  | { readonly _tag: 'gone' }
  | { readonly _tag: 'broken'; readonly detail: string };

/** The platform's object API. No method fails: outages are outcomes. */
export interface PlatformApi {
  readonly read: (kind: ObjectKind, name: string) => Effect.Effect<ReadOutcome>;
  readonly list: (kind: ObjectKind) => Effect.Effect<ListOutcome>;
  /** Writes an object that must not be there yet. */
  readonly create: (kind: ObjectKind, name: string, value: unknown) => Effect.Effect<WriteOutcome>;
  /** Writes an object whose version must still be the one named. */
  readonly replace: (
    kind: ObjectKind,
    name: string,
    value: unknown,
    resourceVersion: string,
  ) => Effect.Effect<WriteOutcome>;
  /** Watches a collection from a version on until the scope closes or an event ends it. */
  readonly watch: (
    kind: ObjectKind,
    resourceVersion: string,
    onEvent: (event: WatchEvent) => void,
  ) => Effect.Effect<void, never, Scope.Scope>;
}
