import {
  CATCH_UP_WAIT_MS,
  ChangeLog,
  LATE_ANSWER_MS,
  ObjectRevisions,
  StoreCallSchedule,
  type ChangeSpan,
  type DueCall,
  type FailedCalls,
  type RevisionGap,
  type StoreCallTiming,
} from '../../../coordination/gateway/index.ts';
import {
  eraOf,
  type ListResult,
  type ObjectStore,
  type StoreChange,
  type StoreObject,
  type StoreObjectKind,
  type StorePosition,
  type WatchResult,
} from '../../../protocol/gateway/index.ts';

/** How a process received changes of the store. */
export type StoreChangeSource = 'list' | 'watch' | 'relay';

/** What a store watch is doing. */
export type StoreWatchPhase = 'calling' | 'backingOff' | 'suspended';

/** The answer that showed that the store is available, and what came before it. */
export interface StoreRecovery {
  /** Time that the answered call took, in ms. */
  readonly callMs: number;
  /** The calls that failed before; undefined if none has. */
  readonly failed: FailedCalls | undefined;
}

/** Callbacks of a store watch. */
export interface StoreWatchListener {
  /** Called with the number of objects after each list, at the start and after a discarded history. */
  readonly onList: (count: number) => void;
  /**
   * Called when the view passes into a later era of the store, before its changes are told: the store has come back from
   * an older copy, whose objects are those up to the new position.
   */
  readonly onNewEra?: (before: StorePosition, after: StorePosition) => void;
  /** Called with changes that are news here, and how they were received. */
  readonly onChanges: (changes: readonly StoreChange[], source: StoreChangeSource) => void;
  /** Called when the store answers for the first time or again after a failure. */
  readonly onAvailable: (recovery: StoreRecovery) => void;
  /** Called when a call to the store fails, but not for further failures in a row. */
  readonly onUnavailable: (detail: string) => void;
}

/** Store, kind of objects, timing and callbacks of a watch. */
export interface StoreWatchOptions {
  readonly store: ObjectStore;
  readonly kind: StoreObjectKind;
  readonly listener: StoreWatchListener;
  /** Timing of the calls where it differs from the usual. */
  readonly timing?: StoreCallTiming;
  /** Returns whether other processes rely on this watch now, so that it retries sooner. */
  readonly isReliedOn: () => boolean;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  /** A random number in [0, 1). */
  readonly random: () => number;
  /** Resolves after a time in ms. */
  readonly sleep: (ms: number) => Promise<void>;
  /**
   * Called with the changes of each call that raised the revision, to relay them, and the moment at which it was sent, in
   * ms. After the first list there is nothing to relay, because it doesn't tell what changed.
   */
  readonly onWatchResult: (span: ChangeSpan, sentAt: number) => void;
  /** Called with an error that a result of the store led to. */
  readonly onError?: (error: unknown) => void;
  /** Called after each failed call, with the moment at which it was sent, in ms. */
  readonly onFailed?: (sentAt: number) => void;
  /**
   * Called when the store has confirmed the view, with the moment at which it did, in ms: before the changes are applied
   * that the answer brought.
   */
  readonly onConfirmed: (at: number) => void;
  /** Called once an answer has been applied, so that the view may be reported as confirmed. */
  readonly onAnswered?: () => void;
}

/** An answer that tells what the store holds. */
type StoreAnswer = Extract<ListResult | WatchResult, { readonly _tag: 'listed' | 'changed' }>;

/** A call that was sent. */
interface SentCall {
  readonly call: DueCall;
  /** Position up to which the view was complete; undefined if there was none. */
  readonly from: StorePosition | undefined;
  /** In ms, monotonic. */
  readonly sentAt: number;
}

/** Outcome of a call that has no answer yet. */
const OVERDUE = { _tag: 'overdue' } as const;

/** Gives a removal a revision after the one that was watched from, if it bears that of the state that it ends. */
const placeAfter = (revision: number, change: StoreChange): StoreChange => {
  const { removed, object } = change;
  if (!removed || object.revision > revision) return change;
  return { removed, object: { ...object, revision: revision + 1 } };
};

/** Follows the objects of one kind in the store: lists them once, then watches for changes. */
export class StoreWatch {
  readonly #options: StoreWatchOptions;

  #stopped = false;

  #revision: StorePosition | undefined;

  readonly #schedule: StoreCallSchedule;

  readonly #objects = new ObjectRevisions();

  readonly #log = new ChangeLog();

  /** Changes that hold here although changes before them are missing. */
  #ahead: readonly StoreChange[] = [];

  #lastChangeRevision = 0;

  #completeSince = 0;

  #gap: RevisionGap = { after: 0, until: 0 };

  #reached = false;

  #relayed = false;

  #phase: StoreWatchPhase = 'calling';

  #resume: (() => void) | undefined;

  /** End of the last pause of the process in ms; answers to earlier calls don't cover the time since. */
  #pausedAt = Number.NEGATIVE_INFINITY;

  constructor(options: StoreWatchOptions) {
    this.#options = options;
    this.#schedule = new StoreCallSchedule(options.timing);
  }

  /** Lists and watches until `stop` is called. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      // eslint-disable-next-line no-await-in-loop
      await (this.#relayed && this.#revision !== undefined
        ? this.#waitUntilResumed()
        : this.#call().catch((error: unknown) => this.#recover(error)));
    }
  }

  /** Has everything read anew after a result that couldn't be applied. */
  #recordError(error: unknown): void {
    this.#options.onError?.(error);
    this.#schedule.requireList();
  }

  async #recover(error: unknown): Promise<void> {
    this.#recordError(error);
    await this.#backOff(this.#makeCall(), `${error}`);
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

  /** Whether the store answered the last call. */
  get reached(): boolean {
    return this.#reached && !this.hasFailed;
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

  /** Whether the last call to the store failed. */
  get hasFailed(): boolean {
    return this.#schedule.failed !== undefined;
  }

  /**
   * Returns what a view of a peer lacks.
   *
   * @param revision - store revision up to which that view is complete
   * @returns the changes; undefined if it lacks nothing, or has nothing
   */
  changesSince(revision: number): ChangeSpan | undefined {
    if (revision === 0 || revision >= this.revision) return undefined;
    const span = this.#log.since(revision);
    if (span !== undefined && revision >= this.#gap.until) return span;
    // Whatever is unknown of the changes between, these two tell the same: what is newer, and what is still there.
    const changes = this.objects
      .filter((object) => object.revision > revision)
      .map((object) => ({ removed: false, object }));
    return { fromRevision: revision, toRevision: this.revision, changes, present: this.present };
  }

  /** Names of all objects that are known here. */
  get present(): readonly string[] {
    return this.objects.map(({ name }) => name);
  }

  /** Revisions between which objects may have come and gone unnoticed. */
  get gap(): RevisionGap {
    return this.#gap;
  }

  /** All objects that are known here; complete at `revision`. */
  get objects(): readonly StoreObject[] {
    return this.#objects.objects;
  }

  /**
   * Tells whether relayed changes complete the view.
   *
   * @param fromRevision - store revision after which the changes are complete
   * @returns false if earlier changes are missing here
   */
  canApply(fromRevision: StorePosition): boolean {
    return this.#revision !== undefined && fromRevision <= this.#revision;
  }

  /** Tells that the view passes into a later era, if it does. */
  #enterEra(position: StorePosition): void {
    const before = this.#revision;
    if (before !== undefined && eraOf(position) > eraOf(before))
      this.#options.listener.onNewEra?.(before, position);
  }

  /**
   * Applies changes that another process has watched.
   *
   * @param span - the changes, and between which store revisions they are complete
   * @returns false if earlier changes are missing here, so that the view isn't complete up to the end of the span
   */
  applyRelayed({ fromRevision, toRevision, changes, present }: ChangeSpan): boolean {
    const known = this.#revision;
    if (known === undefined) return false;
    // Changes alone lead from one position to another within an era; into the next one only all objects do.
    const isPartOfEra = eraOf(toRevision) > eraOf(known) && present === undefined;
    if (!this.canApply(fromRevision) || isPartOfEra) {
      // What changed earlier is missing, but each of these states holds all the same.
      this.#ahead = [...this.#ahead, ...changes];
      this.#tell(changes, 'relay');
      return false;
    }
    if (toRevision <= known) return true;
    this.#enterEra(toRevision);
    this.#schedule.recordComplete();
    this.#revision = toRevision;
    const gone = present === undefined ? [] : this.#objects.findGone(present, toRevision);
    const all = [...changes, ...gone];
    this.#log.append(all, toRevision);
    if (present !== undefined) this.#gap = { after: known, until: toRevision };
    this.#apply(all, 'relay');
    return true;
  }

  /**
   * Applies the whole view of a peer.
   *
   * @param revision - store revision at which it is complete
   * @param objects - all objects
   */
  applyView(revision: number, objects: readonly StoreObject[]): void {
    this.#applyObjects(revision, objects, 'relay');
  }

  /** Records that the process was paused until now: the answer to a call in progress is discarded. */
  recordPause(): void {
    this.#pausedAt = this.#options.now();
  }

  /** Asks the store at once for what has changed, also while changes are relayed or another call is in progress. */
  async refresh(): Promise<void> {
    if (this.#stopped || this.#revision === undefined) return;
    const { answerMs } = this.#schedule;
    const watch = { _tag: 'watch', waitMs: CATCH_UP_WAIT_MS, answerMs, isCatchUp: true } as const;
    const result = await this.#callBeside(watch);
    if (result._tag === 'expired') await this.#callBeside({ _tag: 'list', waitMs: 0, answerMs });
  }

  /** Stops the watch; the result of a call in progress is discarded. */
  stop(): void {
    this.#stopped = true;
    this.#resume?.();
  }

  #waitUntilResumed(): Promise<void> {
    this.#schedule.recordResumed();
    this.#phase = 'suspended';
    return new Promise((resolve) => {
      this.#resume = resolve;
    });
  }

  #makeCall(call = this.#schedule.next(this.#revision !== undefined)): SentCall {
    return { call, from: this.#revision, sentAt: this.#options.now() };
  }

  #send({ call, from = 0 }: SentCall, answerMs: number): Promise<ListResult | WatchResult> {
    const { store, kind } = this.#options;
    if (call._tag === 'list') return store.list(kind, { answerMs });
    return store.watch(kind, from, { waitMs: call.waitMs, answerMs, fresh: call.isCatchUp });
  }

  /**
   * Makes the call that is due. It ends when its answer is overdue, so that the next call can be made; the answer counts
   * all the same when it arrives.
   */
  async #call(): Promise<void> {
    this.#phase = 'calling';
    const { sleep } = this.#options;
    const sent = this.#makeCall();
    const { waitMs, answerMs } = sent.call;
    const answer = this.#send(sent, LATE_ANSWER_MS);
    const outcome = await Promise.race([answer, sleep(waitMs + answerMs).then(() => OVERDUE)]);
    if (outcome._tag !== 'overdue') {
      await this.#handleAnswer(sent, outcome);
      return;
    }
    answer
      .then((late) => this.#handleFurtherAnswer(sent, late))
      .catch((error: unknown) => this.#recordError(error));
    if (this.#isDiscarded(sent)) return;
    await this.#backOff(sent, `no answer within ${waitMs + answerMs} ms`);
  }

  /** Makes a call beside those that are due. */
  async #callBeside(call: DueCall): Promise<ListResult | WatchResult> {
    const sent = this.#makeCall(call);
    const result = await this.#send(sent, call.answerMs);
    this.#handleFurtherAnswer(sent, result);
    return result;
  }

  async #handleAnswer(sent: SentCall, result: ListResult | WatchResult): Promise<void> {
    if (this.#isDiscarded(sent)) return;
    switch (result._tag) {
      case 'unavailable':
        await this.#backOff(sent, result.detail);
        return;
      case 'expired':
        this.#schedule.recordExpired(sent.from);
        await this.#pauseAfterExpiry();
        return;
      case 'listed':
      case 'changed': {
        const { listener, now } = this.#options;
        const wasReached = this.reached;
        const { failed } = this.#schedule;
        this.#reached = true;
        this.#schedule.recordAnswer(sent, this.#confirmationOf(sent, result), now());
        this.#applyResult(sent, result);
        if (!wasReached) listener.onAvailable({ callMs: now() - sent.sentAt, failed });
        return;
      }
      default:
        result satisfies never;
    }
  }

  /** Handles the answer to a call that holds up no other. What is called next doesn't depend on whether it is answered. */
  #handleFurtherAnswer(sent: SentCall, result: ListResult | WatchResult): void {
    if (this.#isDiscarded(sent)) return;
    switch (result._tag) {
      case 'unavailable':
        return;
      case 'expired':
        if (sent.from === this.#revision) this.#schedule.requireList();
        return;
      case 'listed':
      case 'changed':
        this.#applyResult(sent, result);
        return;
      default:
        result satisfies never;
    }
  }

  /** Whether the outcome of a call no longer counts, because the watch was stopped or the process paused meanwhile. */
  #isDiscarded({ sentAt }: SentCall): boolean {
    if (this.#stopped) return true;
    if (sentAt >= this.#pausedAt) return false;
    this.#schedule.recordDiscarded();
    return true;
  }

  /** Peers may be told of a confirmation only once the view holds what it confirms. */
  #applyResult(sent: SentCall, result: StoreAnswer): void {
    const { onConfirmed, onAnswered } = this.#options;
    onConfirmed(this.#confirmationOf(sent, result));
    if (result._tag === 'listed') this.#applyList(sent, result.revision, result.objects);
    else this.#applyWatched(sent, result.revision, result.changes);
    onAnswered?.();
  }

  /** Returns a moment as of which an answer holds, also if it was long on the way or handled late. */
  #confirmationOf({ call, sentAt }: SentCall, result: StoreAnswer): number {
    // The objects may have been read as the list was sent.
    if (result._tag === 'listed') return sentAt;
    const now = this.#options.now();
    if (now <= sentAt + call.waitMs) return now;
    // Without a change the store answers at the end of the wait; what came after that was the way.
    return result.changes.length === 0 ? sentAt + call.waitMs : sentAt;
  }

  #applyList({ sentAt }: SentCall, revision: number, objects: readonly StoreObject[]): void {
    const before = this.#revision;
    const changes = this.#applyObjects(revision, objects, 'list');
    if (before === undefined || changes === undefined) return;
    const { present } = this;
    // All objects of a new era are changes, so that they complete any view of the eras before.
    const fromRevision = eraOf(revision) > eraOf(before) ? 0 : before;
    this.#options.onWatchResult({ fromRevision, toRevision: revision, changes, present }, sentAt);
  }

  /** Returns what was news of all objects; undefined if the view is newer. */
  #applyObjects(
    revision: number,
    objects: readonly StoreObject[],
    source: 'list' | 'relay',
  ): readonly StoreChange[] | undefined {
    this.#schedule.recordComplete();
    const before = this.#revision;
    // Changes that were relayed during the call are newer than its result.
    if (before !== undefined && revision <= before) return undefined;
    this.#enterEra(revision);
    // A list doesn't show the changes that hold already, but peers may lack them.
    const held = this.#ahead.filter(({ object }) => object.revision <= revision);
    const changes = [...held, ...this.#objects.compare(objects, revision)];
    this.#revision = revision;
    this.#apply(changes, source);
    if (before === undefined) this.#log.reset(revision);
    else this.#log.append(changes, revision);
    if (before === undefined || changes.length > 0) this.#completeSince = revision;
    this.#gap = { after: before ?? 0, until: revision };
    this.#options.listener.onList(objects.length);
    return changes;
  }

  #applyWatched(
    { from = 0, sentAt }: SentCall,
    revision: number,
    watched: readonly StoreChange[],
  ): void {
    const before = this.#revision ?? 0;
    // Changes that were relayed during the call are newer than its result.
    if (revision <= before) return;
    const changes = watched.map((change) => placeAfter(from, change));
    this.#revision = revision;
    this.#log.append(changes, revision);
    this.#apply(changes, 'watch');
    const span = { fromRevision: before, toRevision: revision, changes };
    this.#options.onWatchResult(span, sentAt);
  }

  /** Applies what is news of changes that complete the view up to its revision. */
  #apply(changes: readonly StoreChange[], source: StoreChangeSource): void {
    this.#ahead = this.#ahead.filter(({ object }) => object.revision > this.revision);
    const last = Math.max(0, ...changes.map(({ object }) => object.revision));
    this.#lastChangeRevision = Math.max(this.#lastChangeRevision, last);
    this.#completeSince = Math.max(this.#completeSince, this.#lastChangeRevision);
    this.#tell(changes, source);
  }

  #tell(changes: readonly StoreChange[], source: StoreChangeSource): void {
    const news = this.#objects.apply(changes);
    if (news.length > 0) this.#options.listener.onChanges(news, source);
  }

  /** A list that leads to no position which can be watched from must not be asked for without a pause. */
  async #pauseAfterExpiry(): Promise<void> {
    const { isReliedOn, random, sleep } = this.#options;
    const pauseMs = this.#schedule.expiryPauseMs(isReliedOn(), random());
    if (pauseMs > 0) await sleep(pauseMs);
  }

  async #backOff({ call, sentAt }: SentCall, detail: string): Promise<void> {
    const { now, random, sleep, isReliedOn, onFailed, listener } = this.#options;
    this.#schedule.recordFailure(call, sentAt, now());
    onFailed?.(sentAt);
    if (this.#schedule.failed?.count === 1) listener.onUnavailable(detail);
    this.#phase = 'backingOff';
    await sleep(this.#schedule.pauseMs(now() - sentAt, isReliedOn(), random()));
  }
}
