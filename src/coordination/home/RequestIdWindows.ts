import { owningIncarnation, makeRequestId } from '../../state/RequestId.ts';

/** Length of one window of request ids. */
export const REQUEST_ID_WINDOW_MS = 60_000;
/** Earlier windows whose ids are accepted as new, since callers cache id prefixes. */
const ACCEPTED_EARLIER_WINDOWS = 2;
/** Later windows whose ids are accepted as new, since the clocks of entries differ. */
const ACCEPTED_LATER_WINDOWS = 1;
/** Earlier windows whose outcomes are retained: more than are accepted, so that no id runs twice. */
const RETAINED_EARLIER_WINDOWS = ACCEPTED_EARLIER_WINDOWS + 1;

const WINDOW_SEPARATOR = '_';
const WINDOW_NUMBER_RADIX = 36;

const windowNumberAt = (wallNow: number): number => Math.floor(wallNow / REQUEST_ID_WINDOW_MS);

/**
 * Makes the prefix of request ids that a caller creates now for an incarnation. Every entry can make
 * it for any other, because windows are counted by the wall clock.
 *
 * @param incarnation - incarnation that is the home of the requests
 * @param wallNow - present Unix time, ms
 * @returns the prefix, to which a caller appends letters, digits, `_` or `-`
 */
export const makeRequestIdPrefix = (incarnation: string, wallNow: number): string =>
  makeRequestId(
    incarnation,
    `${windowNumberAt(wallNow).toString(WINDOW_NUMBER_RADIX)}${WINDOW_SEPARATOR}`,
  );

/**
 * Divides an incarnation's request ids into time windows, so that a home can evict old ids without
 * ever accepting one of them as new.
 */
export class RequestIdWindows {
  readonly #incarnation: string;

  /** Never decreases, so that a clock that is set back reopens no closed window. */
  #latestWindow = 0;

  /** @param incarnation - the incarnation that owns the ids */
  constructor(incarnation: string) {
    this.#incarnation = incarnation;
  }

  /**
   * Tells whether an id may still be accepted as a new request.
   *
   * @param id - a request id
   * @param wallNow - present Unix time, ms
   * @returns false for an id of another incarnation, of a closed window or without a window
   */
  acceptsNew(id: string, wallNow: number): boolean {
    const window = this.#windowOf(id);
    if (window === undefined) return false;
    const current = this.#currentWindow(wallNow);
    return (
      window >= current - ACCEPTED_EARLIER_WINDOWS && window <= current + ACCEPTED_LATER_WINDOWS
    );
  }

  /**
   * Tells whether the record of an ended request may be evicted.
   *
   * @param id - a request id
   * @param wallNow - present Unix time, ms
   * @returns true once its window is so old that the id can no longer be accepted as new
   */
  mayEvict(id: string, wallNow: number): boolean {
    const window = this.#windowOf(id);
    return window === undefined || window < this.#currentWindow(wallNow) - RETAINED_EARLIER_WINDOWS;
  }

  #currentWindow(wallNow: number): number {
    this.#latestWindow = Math.max(this.#latestWindow, windowNumberAt(wallNow));
    return this.#latestWindow;
  }

  #windowOf(id: string): number | undefined {
    if (owningIncarnation(id) !== this.#incarnation) return undefined;
    const suffix = id.slice(this.#incarnation.length + 1);
    const digits = suffix.slice(0, Math.max(0, suffix.indexOf(WINDOW_SEPARATOR)));
    const window = Number.parseInt(digits, WINDOW_NUMBER_RADIX);
    return window.toString(WINDOW_NUMBER_RADIX) === digits ? window : undefined;
  }
}
