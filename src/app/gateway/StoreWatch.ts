import { ObjectRevisions, storeRetryDelay } from '../../coordination/gateway/index.ts';
import type {
  ObjectStore,
  StoreChange,
  StoreObjectKind,
  StoreObject,
} from '../../protocol/gateway/index.ts';

/** How a process received changes of the store. */
export type StoreChangeSource = 'list' | 'watch' | 'relay';

/** What a store watch is doing. */
export type StoreWatchPhase = 'calling' | 'backingOff' | 'suspended';

/** Callbacks of a store watch. */
export interface StoreWatchListener {
  /** Called with the number of objects after each list, at the start and after a discarded history. */
  readonly onList: (count: number) => void;
  /** Called with changes that are news here, and how they were received. */
  readonly onChanges: (changes: readonly StoreChange[], source: StoreChangeSource) => void;
  /** Called when the store answers for the first time or again after a failure. */
  readonly onAvailable: () => void;
  /** Called when a call to the store fails, but not for further failures in a row. */
  readonly onUnavailable: (detail: string) => void;
}

/** Store, kind of objects, timing and callbacks of a watch. */
export interface StoreWatchOptions {
  readonly store: ObjectStore;
  readonly kind: StoreObjectKind;
  readonly listener: StoreWatchListener;
  /** Returns the longest wait of one call in ms, which also bounds how late a dead connection is detected. */
  readonly waitMs: () => number;
  /** Returns whether other processes rely on this watch now, so that it retries sooner. */
  readonly isReliedOn: () => boolean;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  /** A random number in [0, 1). */
  readonly random: () => number;
  /** Resolves after a time in ms. */
  readonly sleep: (ms: number) => Promise<void>;
  /**
   * Called with the changes of each call that raised the revision, to relay them. After the first list
   * there is nothing to relay, because it doesn't tell what changed.
   */
  readonly onWatchResult: (
    fromRevision: number,
    toRevision: number,
    changes: readonly StoreChange[],
  ) => void;
  /** Called when the store has confirmed the view, with the moment at which it did, in ms. */
  readonly onConfirmed: (at: number) => void;
}

/** Longest wait of a watch call after a failure. */
const RECOVERY_WATCH_WAIT_MS = 150;

/** Follows the objects of one kind in the store: lists them once, then watches for changes. */
export class StoreWatch {
  readonly #options: StoreWatchOptions;

  #stopped = false;

  #revision: number | undefined;

  /** Whether the store has discarded the history since the known revision. */
  #isListDue = false;

  readonly #objects = new ObjectRevisions();

  #lastChangeRevision = 0;

  #completeSince = 0;

  #confirmedAt = 0;

  #failures = 0;

  #reached = false;

  #relayed = false;

  #phase: StoreWatchPhase = 'calling';

  #resume: (() => void) | undefined;

  constructor(options: StoreWatchOptions) {
    this.#options = options;
  }

  /** Lists and watches until `stop` is called. */
  async run(): Promise<void> {
    // Calls are sequential, so that their results are applied in order.
    while (!this.#stopped) {
      // eslint-disable-next-line no-await-in-loop
      await (this.#relayed && this.#revision !== undefined
        ? this.#waitUntilResumed()
        : this.#listOrWatch());
    }
  }

  /** What the watch is doing, for the log. */
  get phase(): StoreWatchPhase {
    return this.#phase;
  }

  /** Store revision up to which all changes are known; 0 before the first list. */
  get revision(): number {
    return this.#revision ?? 0;
  }

  /** Highest store revision of a change, whether watched or relayed; 0 before the first change. */
  get lastChangeRevision(): number {
    return this.#lastChangeRevision;
  }

  /**
   * Lowest store revision at which a complete view is as complete as this one: nothing is known to have
   * changed between it and `revision`.
   */
  get completeSince(): number {
    return this.#completeSince;
  }

  /** When the store last answered, and so confirmed the view, in ms; 0 before the first answer. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Whether the store answered the last call. */
  get reached(): boolean {
    return this.#reached && this.#failures === 0;
  }

  /** Whether the last call failed, and no other process has relayed changes since. */
  get isFailing(): boolean {
    return this.#failures > 0;
  }

  /**
   * Suspends or resumes calls to the store; a call in progress is completed.
   *
   * @param relayed - whether another process relays the changes
   */
  setRelayed(relayed: boolean): void {
    if (this.#relayed === relayed) return;
    this.#relayed = relayed;
    if (!relayed) this.#resume?.();
  }

  /**
   * Applies changes that another process has watched.
   *
   * @param fromRevision - store revision after which the changes are complete
   * @param toRevision - store revision up to which the changes are complete
   * @param changes - the changes in order
   * @returns false if earlier changes are missing here, so that the view isn't complete up to `toRevision`
   */
  applyRelayed(fromRevision: number, toRevision: number, changes: readonly StoreChange[]): boolean {
    if (this.#revision === undefined) return false;
    if (fromRevision > this.#revision) {
      // What changed earlier is missing, but each of these states holds all the same.
      this.#tell(changes, 'relay');
      return false;
    }
    if (toRevision <= this.#revision) return true;
    this.#isListDue = false;
    this.#revision = toRevision;
    this.#apply(changes, 'relay');
    return true;
  }

  /** Stops the watch; the result of a call in progress is discarded. */
  stop(): void {
    this.#stopped = true;
    this.#resume?.();
  }

  #waitUntilResumed(): Promise<void> {
    // Earlier failures say nothing about the store at the time of the next call.
    this.#failures = 0;
    this.#phase = 'suspended';
    return new Promise((resolve) => {
      this.#resume = resolve;
    });
  }

  async #listOrWatch(): Promise<void> {
    const { store, kind, waitMs } = this.#options;
    this.#phase = 'calling';
    if (this.#revision === undefined || this.#isListDue) {
      const result = await store.list(kind);
      if (this.#stopped) return;
      if (result._tag === 'unavailable') {
        await this.#backOff(result.detail);
        return;
      }
      this.#reportAvailable();
      this.#applyList(result.revision, result.objects);
      return;
    }
    // After a failure the wait is short, because a long one would delay the detection of the recovery.
    const watchWaitMs = this.#failures > 0 ? Math.min(waitMs(), RECOVERY_WATCH_WAIT_MS) : waitMs();
    const result = await store.watch(kind, this.#revision, watchWaitMs);
    if (this.#stopped) return;
    switch (result._tag) {
      case 'unavailable':
        await this.#backOff(result.detail);
        return;
      case 'expired':
        this.#isListDue = true;
        return;
      case 'changed':
        this.#reportAvailable();
        this.#applyWatched(result.revision, result.changes);
        return;
      default:
        result satisfies never;
    }
  }

  #applyList(revision: number, objects: readonly StoreObject[]): void {
    const before = this.#revision;
    this.#isListDue = false;
    // Changes that were relayed during the call are newer than its result.
    if (before !== undefined && revision <= before) return;
    const changes = this.#objects.compare(objects, revision);
    this.#revision = revision;
    this.#apply(changes, 'list');
    if (before === undefined || changes.length > 0) this.#completeSince = revision;
    this.#options.listener.onList(objects.length);
    if (before !== undefined) this.#options.onWatchResult(before, revision, changes);
  }

  #applyWatched(revision: number, changes: readonly StoreChange[]): void {
    const before = this.#revision ?? 0;
    // Changes that were relayed during the call are newer than its result.
    if (revision <= before) return;
    this.#revision = revision;
    this.#apply(changes, 'watch');
    this.#options.onWatchResult(before, revision, changes);
  }

  /** Applies what is news of changes that complete the view up to its revision. */
  #apply(changes: readonly StoreChange[], source: StoreChangeSource): void {
    const last = Math.max(0, ...changes.map(({ object }) => object.revision));
    this.#lastChangeRevision = Math.max(this.#lastChangeRevision, last);
    this.#completeSince = Math.max(this.#completeSince, this.#lastChangeRevision);
    this.#tell(changes, source);
  }

  #tell(changes: readonly StoreChange[], source: StoreChangeSource): void {
    const news = this.#objects.apply(changes);
    if (news.length > 0) this.#options.listener.onChanges(news, source);
  }

  #reportAvailable(): void {
    this.#confirmedAt = this.#options.now();
    this.#options.onConfirmed(this.#confirmedAt);
    if (this.#reached && this.#failures === 0) return;
    this.#reached = true;
    this.#failures = 0;
    this.#options.listener.onAvailable();
  }

  async #backOff(detail: string): Promise<void> {
    const { random, sleep, isReliedOn } = this.#options;
    const pauseMs = storeRetryDelay(this.#failures, isReliedOn(), random());
    this.#failures += 1;
    if (this.#failures === 1) this.#options.listener.onUnavailable(detail);
    this.#phase = 'backingOff';
    await sleep(pauseMs);
  }
}
