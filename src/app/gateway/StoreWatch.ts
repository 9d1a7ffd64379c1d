import { storeRetryDelay } from '../../coordination/gateway/index.ts';
import type {
  ObjectStore,
  StoredChange,
  StoredKind,
  StoredObject,
} from '../../protocol/gateway/index.ts';

/** What a watch tells. */
export interface StoreWatchListener {
  /** All objects of the kind, at the start and whenever the store has lost its history. */
  readonly onList: (objects: readonly StoredObject[]) => void;
  readonly onChanges: (changes: readonly StoredChange[]) => void;
  /** The store answered after it had failed, or for the first time. */
  readonly onRegained: () => void;
  readonly onFailed: (detail: string) => void;
}

/** What a watch is made of. */
export interface StoreWatchOptions {
  readonly store: ObjectStore;
  readonly kind: StoredKind;
  readonly listener: StoreWatchListener;
  /** Longest wait of one call; also the longest time for which a silent connection goes unnoticed. */
  readonly waitMs: () => number;
  /** Whether other processes rely on this watch now. */
  readonly isReliedOn: () => boolean;
  /** A random number from 0 up to 1. */
  readonly random: () => number;
  /** Told of what a watch brought, to pass it on. */
  readonly onWatched: (
    fromRevision: number,
    toRevision: number,
    changes: readonly StoredChange[],
  ) => void;
}

const RECOVERY_WAIT_MS = 150;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Follows the objects of one kind for as long as the process runs. */
export class StoreWatch {
  readonly #options: StoreWatchOptions;

  #stopped = false;

  #revision: number | undefined;

  #changedRevision = 0;

  #failures = 0;

  #reached = false;

  #relayed = false;

  #onResumed: (() => void) | undefined;

  constructor(options: StoreWatchOptions) {
    this.#options = options;
  }

  /** Follows until it is stopped. */
  async run(): Promise<void> {
    // One call waits for the next, so that answers are taken in order.
    while (!this.#stopped) {
      // eslint-disable-next-line no-await-in-loop
      await (this.#relayed && this.#revision !== undefined ? this.#resumed() : this.#step());
    }
  }

  /** Revision of the store up to which all is known; 0 before the first list. */
  get revision(): number {
    return this.#revision ?? 0;
  }

  /** Store revision of the last change that was seen here, however it came. */
  get changedRevision(): number {
    return this.#changedRevision;
  }

  /** Whether the last call was answered. */
  get reached(): boolean {
    return this.#reached && this.#failures === 0;
  }

  /**
   * Changes between watching and being told.
   *
   * @param relayed - whether another process tells the changes
   */
  setRelayed(relayed: boolean): void {
    if (this.#relayed === relayed) return;
    this.#relayed = relayed;
    if (!relayed) this.#onResumed?.();
  }

  /**
   * Takes changes that another process has seen.
   *
   * @returns false where changes before them are missing, so that the store must be asked
   */
  takeRelayed(fromRevision: number, toRevision: number, changes: readonly StoredChange[]): boolean {
    if (this.#revision === undefined || fromRevision > this.#revision) return false;
    if (toRevision <= this.#revision) return true;
    this.#revision = toRevision;
    this.#take(changes);
    return true;
  }

  stop(): void {
    this.#stopped = true;
    this.#onResumed?.();
  }

  #resumed(): Promise<void> {
    return new Promise((resolve) => {
      this.#onResumed = resolve;
    });
  }

  async #step(): Promise<void> {
    const { store, kind, listener, waitMs } = this.#options;
    if (this.#revision === undefined) {
      const result = await store.list(kind);
      if (this.#stopped) return;
      if (result._tag === 'unavailable') {
        await this.#backOff(result.detail);
        return;
      }
      this.#regained();
      this.#revision = result.revision;
      listener.onList(result.objects);
      return;
    }
    // After a failure the store is asked to answer soon: a wait would hide for longer that it is back.
    const patienceMs = this.#failures > 0 ? Math.min(waitMs(), RECOVERY_WAIT_MS) : waitMs();
    const result = await store.watch(kind, this.#revision, patienceMs);
    if (this.#stopped) return;
    switch (result._tag) {
      case 'unavailable':
        await this.#backOff(result.detail);
        return;
      case 'expired':
        this.#revision = undefined;
        return;
      case 'changed':
        this.#regained();
        this.#takeWatched(result.revision, result.changes);
        return;
      default:
        result satisfies never;
    }
  }

  #takeWatched(revision: number, changes: readonly StoredChange[]): void {
    const before = this.#revision ?? 0;
    // What was relayed meanwhile is newer than an answer that was on its way.
    if (revision <= before) return;
    this.#revision = revision;
    this.#take(changes);
    this.#options.onWatched(before, revision, changes);
  }

  #take(changes: readonly StoredChange[]): void {
    if (changes.length === 0) return;
    const revisions = changes.map(({ object }) => object.revision);
    this.#changedRevision = Math.max(this.#changedRevision, ...revisions);
    this.#options.listener.onChanges(changes);
  }

  #regained(): void {
    if (this.#reached && this.#failures === 0) return;
    this.#reached = true;
    this.#failures = 0;
    this.#options.listener.onRegained();
  }

  async #backOff(detail: string): Promise<void> {
    const { random, isReliedOn } = this.#options;
    const pauseMs = storeRetryDelay(this.#failures, isReliedOn(), random());
    this.#failures += 1;
    if (this.#failures === 1) this.#options.listener.onFailed(detail);
    await sleep(pauseMs);
  }
}
