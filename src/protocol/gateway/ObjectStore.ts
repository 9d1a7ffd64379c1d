/** The kinds of objects that a gateway follows. */
export type StoreObjectKind = 'configuration' | 'endpoints';

/** An object of the platform's store. */
export interface StoredObject {
  readonly name: string;
  /** Store revision of its last change. */
  readonly revision: number;
  /** As its writer left it; not checked yet. */
  readonly spec: unknown;
  readonly status: unknown;
}

/** A change that a watch reports. */
export interface StoreChange {
  readonly removed: boolean;
  readonly object: StoredObject;
}

/** Why a call to the store gave nothing. */
export interface StoreFailure {
  readonly _tag: 'unavailable';
  readonly detail: string;
}

export type ListResult =
  | {
      readonly _tag: 'listed';
      readonly objects: readonly StoredObject[];
      readonly revision: number;
    }
  | StoreFailure;

export type WatchResult =
  /** Empty where nothing changed within the wait. */
  | {
      readonly _tag: 'changed';
      readonly changes: readonly StoreChange[];
      readonly revision: number;
    }
  /** The store no longer has the history since that revision. */
  | { readonly _tag: 'expired' }
  | StoreFailure;

/** The platform's store as a gateway reads it; it writes nothing. Every call counts against a rate and costs. */
export interface ObjectStore {
  readonly list: (kind: StoreObjectKind) => Promise<ListResult>;
  /** Waits for changes after a revision, `waitMs` at most. */
  readonly watch: (kind: StoreObjectKind, revision: number, waitMs: number) => Promise<WatchResult>;
}
