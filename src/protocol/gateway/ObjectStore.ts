import type { StorePosition } from './StorePosition.ts';

/** Kinds of store objects that every gateway follows. */
export type StoreObjectKind = 'configuration' | 'endpoints' | 'domainDrains';

/** Kinds of store objects whose status the system writes. */
export type StatusObjectKind = 'rollouts';

/** An object in the platform's store. */
export interface StoreObject {
  readonly name: string;
  /** Position in the store of its last change. */
  readonly revision: StorePosition;
  /** Content as written by its owner; not validated yet. */
  readonly spec: unknown;
  readonly status: unknown;
  /** Why its content was dropped: it can't be handled, let alone read. */
  readonly fault?: string | undefined;
}

/** A change of an object, reported by a watch. */
export interface StoreChange {
  readonly removed: boolean;
  readonly object: StoreObject;
}

/** Failure of a call to the store. */
export interface StoreFailure {
  readonly _tag: 'unavailable';
  readonly detail: string;
}

/** Result of a listing, with the position to watch from. */
export type ListResult =
  | {
      readonly _tag: 'listed';
      readonly objects: readonly StoreObject[];
      readonly revision: StorePosition;
    }
  | StoreFailure;

/** Result of waiting for changes, with the position to continue from. */
export type WatchResult =
  /** `changes` is empty if nothing changed within the wait. */
  | {
      readonly _tag: 'changed';
      readonly changes: readonly StoreChange[];
      readonly revision: StorePosition;
    }
  /** The store has discarded the history since that position, or is in a later era, so the objects must be listed again. */
  | { readonly _tag: 'expired' }
  | StoreFailure;

/** How a list is asked for. */
export interface ListCall {
  /** Time in ms for each page of the answer, after which the call is given up. */
  readonly answerMs: number;
}

/** How a change is waited for. */
export interface WatchCall {
  /** Longest time in ms for which the store holds the answer back while nothing changes. */
  readonly waitMs: number;
  /** Time in ms for the answer beyond that, after which the call is given up. */
  readonly answerMs: number;
  /** Whether to call on a new connection, because an idle one may have died unnoticed. */
  readonly fresh: boolean;
}

/** Result of a conditional write. */
export type StatusWriteResult =
  | { readonly _tag: 'written'; readonly object: StoreObject }
  /** The object has another position than the write named; `object` is the present one where the store says it. */
  | { readonly _tag: 'conflict'; readonly object: StoreObject | undefined }
  /** The object does not exist. */
  | { readonly _tag: 'missing' }
  /** The store may have applied the write, or may still apply it. */
  | StoreFailure;

/** A write of an object's status that takes effect only at one position of the object. */
export interface StatusWrite {
  readonly name: string;
  readonly revision: StorePosition;
  readonly status: unknown;
}

/** Reads some kinds of the platform's store. Calls are rate-limited and have a cost, so they should be few. */
export interface StoreReader<Kind> {
  /** Lists all objects of a kind. */
  readonly list: (kind: Kind, call: ListCall) => Promise<ListResult>;
  /** Waits for changes after a position. */
  readonly watch: (kind: Kind, revision: StorePosition, call: WatchCall) => Promise<WatchResult>;
}

/** Read-only client of the kinds that every gateway follows. */
export type ObjectStore = StoreReader<StoreObjectKind>;

/** Client of the kinds whose status the system writes. */
export interface StatusStore extends StoreReader<StatusObjectKind> {
  /** Writes the status of an object if the object still has the named position. */
  readonly writeStatus: (kind: StatusObjectKind, write: StatusWrite) => Promise<StatusWriteResult>;
}
