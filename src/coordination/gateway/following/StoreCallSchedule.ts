import type { StorePosition } from '../../../protocol/gateway/index.ts';
import { storeRetryDelay } from './storeRetryDelay.ts';
import {
  CATCH_UP_WAIT_MS,
  LONGEST_ANSWER_MS,
  WATCH_ANSWER_MS,
  WATCH_WAIT_MS,
} from './viewTiming.ts';

/** A watch that is due. */
export interface DueWatch {
  readonly _tag: 'watch';
  /** Longest time in ms for which the store holds the answer back while nothing changes. */
  readonly waitMs: number;
  /** Time beyond the wait after which the next call is made without the answer, in ms. */
  readonly answerMs: number;
  /** Whether the answer is wanted at once, on a new connection. */
  readonly isCatchUp: boolean;
}

/** The call to the store that is due. */
export type DueCall =
  | {
      readonly _tag: 'list';
      readonly waitMs: 0;
      /** Time after which the next call is made without the answer, in ms. */
      readonly answerMs: number;
    }
  | DueWatch;

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

/** Decides which call to the store comes next, when, and how long the answer is waited for before that. */
export class StoreCallSchedule {
  readonly #timing: StoreCallTiming | undefined;

  /** Whether the store has discarded the history since the known revision. */
  #isListDue = false;

  /** Whether the last call was a watch without an answer in time. The store may answer lists though it answers no watches. */
  #isUnanswered = false;

  /** Whether the next answer is wanted at once, because the last one is old or was lost. */
  #isCatchUpDue = false;

  /** Time for the answer to the next watch beyond its wait; follows a slow store. */
  #answerMs = WATCH_ANSWER_MS;

  #failed: FailedCalls | undefined;

  /** Position from which the store could not tell the changes last, and how often in a row it was the same. */
  #expired: { readonly from: StorePosition | undefined; readonly count: number } = {
    from: undefined,
    count: 0,
  };

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
    if (!hasView || this.#isListDue || this.#isUnanswered) {
      return { _tag: 'list', waitMs: 0, answerMs: LONGEST_ANSWER_MS };
    }
    const isCatchUp = this.#isCatchUpDue;
    const waitMs = isCatchUp ? CATCH_UP_WAIT_MS : (this.#timing?.waitMs ?? WATCH_WAIT_MS);
    return { _tag: 'watch', waitMs, answerMs: this.#answerMs, isCatchUp };
  }

  /** Records that the objects have to be listed again. */
  requireList(): void {
    this.#isListDue = true;
  }

  /**
   * Records that the store could not tell the changes since a position, so that the objects have to be listed again.
   *
   * @param from - the position
   */
  recordExpired(from: StorePosition | undefined): void {
    this.#isListDue = true;
    this.#expired = { from, count: from === this.#expired.from ? this.#expired.count + 1 : 0 };
  }

  /**
   * Returns how long to wait before the list that follows: not at all, unless the list before it led to the same position.
   *
   * @param hasDependents - whether other processes rely on this one to watch the store
   * @param fraction - a random number in [0, 1)
   * @returns the time in ms
   */
  expiryPauseMs(hasDependents: boolean, fraction: number): number {
    const { count } = this.#expired;
    return count === 0 ? 0 : storeRetryDelay(count - 1, hasDependents, fraction);
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
    this.#answerMs = WATCH_ANSWER_MS;
    this.#isCatchUpDue = true;
  }

  /** Records that the answer to the last call is unusable because the process was paused meanwhile. */
  recordDiscarded(): void {
    this.#isCatchUpDue = true;
  }

  /**
   * Records that a call was answered in time.
   *
   * @param sent - the call, and when it was sent, in ms
   * @param confirmedAt - as of when the answer confirms the view, in ms
   * @param now - present time in ms, monotonic
   */
  recordAnswer(
    { call, sentAt }: { readonly call: DueCall; readonly sentAt: number },
    confirmedAt: number,
    now: number,
  ): void {
    this.#failed = undefined;
    this.#isUnanswered = false;
    if (call._tag === 'list') return;
    // After a pause of this process an answer may be so old that the next one is wanted soon, not after a long wait.
    this.#isCatchUpDue = this.#timing !== undefined && now - confirmedAt > WATCH_WAIT_MS;
    const beyondWaitMs = now - sentAt - call.waitMs;
    if (call.isCatchUp || beyondWaitMs > 0)
      this.#answerMs = Math.min(LONGEST_ANSWER_MS, Math.max(WATCH_ANSWER_MS, 2 * beyondWaitMs));
  }

  /**
   * Records that a call failed, or has no answer in time.
   *
   * @param call - the call
   * @param sentAt - when it was sent, in ms
   * @param now - present time in ms, monotonic
   */
  recordFailure(call: DueCall, sentAt: number, now: number): void {
    const beyondWaitMs = now - sentAt - call.waitMs;
    const { count = 0, since = sentAt, longestMs = 0 } = this.#failed ?? {};
    this.#failed = { count: count + 1, since, longestMs: Math.max(longestMs, beyondWaitMs) };
    if (call._tag === 'list') {
      // The store may answer watches though it answers no lists.
      this.#isUnanswered = false;
      return;
    }
    this.#isCatchUpDue = true;
    if (beyondWaitMs < call.answerMs) return;
    this.#isUnanswered = true;
    this.#answerMs = Math.min(LONGEST_ANSWER_MS, 2 * call.answerMs);
  }

  /**
   * Returns how long to wait before the next call, after a failed one was recorded. Calls without an answer come in the
   * same intervals as those that are refused.
   *
   * @param elapsedMs - time since the failed call was sent, in ms
   * @param hasDependents - whether other processes rely on this one to watch the store
   * @param fraction - a random number in [0, 1)
   * @returns the time in ms
   */
  pauseMs(elapsedMs: number, hasDependents: boolean, fraction: number): number {
    const previous = Math.max(0, (this.#failed?.count ?? 0) - 1);
    // The first call after a failure comes at once, since it may follow from one lost connection.
    const factor = previous === 0 ? 1 : (this.#timing?.retryFactor ?? 1);
    const intervalMs = factor * storeRetryDelay(previous, hasDependents, fraction);
    return Math.max(storeRetryDelay(0, hasDependents, fraction), intervalMs - elapsedMs);
  }
}
