import { storeRetryDelay } from './storeRetryDelay.ts';
import { CATCH_UP_WAIT_MS, WATCH_ANSWER_MS, WATCH_WAIT_MS } from './viewTiming.ts';

/** A watch that is due. */
export interface DueWatch {
  readonly _tag: 'watch';
  /** Longest time in ms for which the store holds the answer back while nothing changes. */
  readonly waitMs: number;
  /** Time for the answer beyond the wait, in ms. */
  readonly answerMs: number;
  /** Whether the answer is wanted at once, on a new connection. */
  readonly isCatchUp: boolean;
}

/** The call to the store that is due. */
export type DueCall = { readonly _tag: 'list' } | DueWatch;

/** Calls in a row that failed. */
export interface FailedCalls {
  readonly count: number;
  /** When the first of them was sent, in ms. */
  readonly since: number;
  /** Longest time that any of them took beyond its wait, in ms: short if the store refuses calls, long if it is silent. */
  readonly longestMs: number;
}

/** Timing of calls where it differs from the usual. */
export interface StoreCallTiming {
  /** Longest wait of a watch, in ms. */
  readonly waitMs: number;
  /** Factor for the pauses after failed calls. */
  readonly retryFactor: number;
}

/** Longest time for the answer to a watch beyond its wait, for a store that is slow. */
const MAXIMUM_ANSWER_MS = 1_200;

/** Decides which call to the store comes next, how long it may take, and how long the pause after a failure is. */
export class StoreCallSchedule {
  readonly #timing: StoreCallTiming | undefined;

  /** Whether the store has discarded the history since the known revision. */
  #isListDue = false;

  /** Whether the store let the last call time out. It may answer lists though it answers no watches. */
  #isUnanswered = false;

  /** Whether the next answer is wanted at once, because the last one is old or was lost. */
  #isCatchUpDue = false;

  /** Time for the answer to the next watch beyond its wait; follows a slow store. */
  #answerMs = WATCH_ANSWER_MS;

  #failed: FailedCalls | undefined;

  /**
   * @param timing - where it differs from the usual
   */
  constructor(timing?: StoreCallTiming) {
    this.#timing = timing;
  }

  /** The calls that failed since the last answer; undefined if the last one was answered. */
  get failed(): FailedCalls | undefined {
    return this.#failed;
  }

  /** Time for the answer to a call that is made beside the others, in ms. */
  get answerMs(): number {
    return this.#answerMs;
  }

  /**
   * Returns the call that comes next.
   *
   * @param hasView - whether the objects have been read, so that changes can be watched
   */
  next(hasView: boolean): DueCall {
    if (!hasView || this.#isListDue || this.#isUnanswered) return { _tag: 'list' };
    const isCatchUp = this.#isCatchUpDue;
    const waitMs = isCatchUp ? CATCH_UP_WAIT_MS : (this.#timing?.waitMs ?? WATCH_WAIT_MS);
    return { _tag: 'watch', waitMs, answerMs: this.#answerMs, isCatchUp };
  }

  /** Records that the objects have to be listed again. */
  requireList(): void {
    this.#isListDue = true;
  }

  /** Records that the view is complete, so that its changes can be watched. */
  recordComplete(): void {
    this.#isListDue = false;
  }

  /** Records that calls begin again after others have supplied the changes. */
  recordResumed(): void {
    // Earlier failures say nothing about the store at the time of the next call.
    this.#failed = undefined;
    this.#isUnanswered = false;
    this.#isCatchUpDue = true;
  }

  /** Records that the answer to the last call is unusable because the process was paused meanwhile. */
  recordDiscarded(): void {
    this.#isCatchUpDue = true;
  }

  /** Records that the store answered. */
  recordAvailable(): void {
    this.#failed = undefined;
    this.#isUnanswered = false;
  }

  /**
   * Records the timing of the answer to a watch.
   *
   * @param call - the watch
   * @param times - when it was sent, and as of when its answer confirms the view, in ms
   * @param now - present time in ms, monotonic
   */
  recordWatched(
    call: DueWatch,
    { sentAt, confirmedAt }: { readonly sentAt: number; readonly confirmedAt: number },
    now: number,
  ): void {
    // After a pause of this process an answer may be so old that the next one is wanted soon, not after a long wait.
    this.#isCatchUpDue = this.#timing !== undefined && now - confirmedAt > WATCH_WAIT_MS;
    const beyondWaitMs = now - sentAt - call.waitMs;
    if (call.isCatchUp || beyondWaitMs > 0)
      this.#answerMs = Math.min(MAXIMUM_ANSWER_MS, Math.max(WATCH_ANSWER_MS, 2 * beyondWaitMs));
  }

  /**
   * Records that a call failed.
   *
   * @param call - the call
   * @param sentAt - when it was sent, in ms
   * @param now - present time in ms, monotonic
   */
  recordFailure(call: DueCall, sentAt: number, now: number): void {
    const beyondWaitMs = now - sentAt - (call._tag === 'list' ? 0 : call.waitMs);
    const { count = 0, since = sentAt, longestMs = 0 } = this.#failed ?? {};
    this.#failed = { count: count + 1, since, longestMs: Math.max(longestMs, beyondWaitMs) };
    if (call._tag === 'list') {
      // A slow store may answer a watch in the time that a watch has, and not a list.
      this.#isUnanswered = false;
      return;
    }
    this.#isCatchUpDue = true;
    if (beyondWaitMs < call.answerMs) return;
    this.#isUnanswered = true;
    this.#answerMs = Math.min(MAXIMUM_ANSWER_MS, 2 * call.answerMs);
  }

  /**
   * Returns how long to wait before the next call, after a failed one was recorded.
   *
   * @param hasDependents - whether other processes rely on this one to watch the store
   * @param fraction - a random number in [0, 1)
   * @returns the time in ms
   */
  pauseMs(hasDependents: boolean, fraction: number): number {
    const previous = Math.max(0, (this.#failed?.count ?? 0) - 1);
    // The first call after a failure comes at once, since it may follow from one lost connection.
    const factor = previous === 0 ? 1 : (this.#timing?.retryFactor ?? 1);
    return factor * storeRetryDelay(previous, hasDependents, fraction);
  }
}
