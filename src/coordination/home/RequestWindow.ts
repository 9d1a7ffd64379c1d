import { homeOf, makeRequestId } from '../../state/RequestId.ts';

/** Time after which a new window of request ids is opened. */
export const WINDOW_MS = 60_000;
/** Closed windows whose ids are still taken, for callers that keep the prefix for a while. */
const GRACE_WINDOWS = 1;
/** Closed windows whose outcomes can still be asked for. */
const REMEMBERED_WINDOWS = 2;

const WINDOW_SEPARATOR = '_';
const RADIX = 36;

/**
 * Divides an incarnation's request ids into windows of time, so that a home may forget old ids and
 * still never take one of them for new.
 */
export class RequestWindow {
  readonly #incarnation: string;

  readonly #startedAt: number;

  /**
   * @param incarnation - the incarnation that owns the ids
   * @param now - present monotonic time, ms
   */
  constructor(incarnation: string, now: number) {
    this.#incarnation = incarnation;
    this.#startedAt = now;
  }

  /**
   * Gives the prefix for ids minted now.
   *
   * @param now - present monotonic time, ms
   * @returns text that a caller completes with letters, digits, `_` or `-`
   */
  prefix(now: number): string {
    const window = this.#current(now).toString(RADIX);
    return makeRequestId(this.#incarnation, `${window}${WINDOW_SEPARATOR}`);
  }

  /**
   * Tells whether an id may still be taken as new.
   *
   * @param id - a request id
   * @param now - present monotonic time, ms
   * @returns false for an id of another incarnation, a closed window or no window at all
   */
  accepts(id: string, now: number): boolean {
    const window = this.#windowOf(id);
    if (window === undefined) return false;
    const current = this.#current(now);
    return window <= current && window >= current - GRACE_WINDOWS;
  }

  /**
   * Tells whether an ended id may be forgotten.
   *
   * @param id - a request id
   * @param now - present monotonic time, ms
   * @returns true once its window lies so far back that nobody may send or ask for it
   */
  forgets(id: string, now: number): boolean {
    const window = this.#windowOf(id);
    return window === undefined || window < this.#current(now) - REMEMBERED_WINDOWS;
  }

  #current(now: number): number {
    return Math.floor((now - this.#startedAt) / WINDOW_MS);
  }

  #windowOf(id: string): number | undefined {
    if (homeOf(id) !== this.#incarnation) return undefined;
    const suffix = id.slice(this.#incarnation.length + 1);
    const end = suffix.indexOf(WINDOW_SEPARATOR);
    if (end <= 0) return undefined;
    const window = Number.parseInt(suffix.slice(0, end), RADIX);
    return window.toString(RADIX) === suffix.slice(0, end) ? window : undefined;
  }
}
