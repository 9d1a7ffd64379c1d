import { owningIncarnation, makeRequestId } from '../../state/RequestId.ts';

/** Time after which a new window of request ids is opened. */
export const WINDOW_MS = 60_000;
/** Windows beside the present one whose ids are taken: callers keep prefixes, and clocks differ. */
const EARLIER_WINDOWS = 2;
const LATER_WINDOWS = 1;
/** Windows back for which outcomes can be asked for; more than are taken, so that no id is run anew. */
const REMEMBERED_WINDOWS = EARLIER_WINDOWS + 1;

const WINDOW_SEPARATOR = '_';
const RADIX = 36;

const windowAt = (wallNow: number): number => Math.floor(wallNow / WINDOW_MS);

/**
 * Gives the prefix for ids of an incarnation that are minted now. Any entry can give it for any
 * other, as windows are counted by the wall clock.
 *
 * @param incarnation - the home of the ids
 * @param wallNow - present Unix time, ms
 * @returns text that a caller completes with letters, digits, `_` or `-`
 */
export const makeRequestIdPrefix = (incarnation: string, wallNow: number): string =>
  makeRequestId(incarnation, `${windowAt(wallNow).toString(RADIX)}${WINDOW_SEPARATOR}`);

/**
 * Divides an incarnation's request ids into windows of time, so that a home may forget old ids and
 * still never take one of them for new.
 */
export class RequestWindow {
  readonly #incarnation: string;

  /** Only grows, so that a clock set back never opens a forgotten window again. */
  #latest = 0;

  /** @param incarnation - the incarnation that owns the ids */
  constructor(incarnation: string) {
    this.#incarnation = incarnation;
  }

  /**
   * Tells whether an id may still be taken as new.
   *
   * @param id - a request id
   * @param wallNow - present Unix time, ms
   * @returns false for an id of another incarnation, a closed window or no window at all
   */
  acceptsNew(id: string, wallNow: number): boolean {
    const window = this.#windowOf(id);
    if (window === undefined) return false;
    const current = this.#current(wallNow);
    return window >= current - EARLIER_WINDOWS && window <= current + LATER_WINDOWS;
  }

  /**
   * Tells whether an ended id may be forgotten.
   *
   * @param id - a request id
   * @param wallNow - present Unix time, ms
   * @returns true once its window lies so far back that the id can't be taken as new
   */
  mayForget(id: string, wallNow: number): boolean {
    const window = this.#windowOf(id);
    return window === undefined || window < this.#current(wallNow) - REMEMBERED_WINDOWS;
  }

  #current(wallNow: number): number {
    this.#latest = Math.max(this.#latest, windowAt(wallNow));
    return this.#latest;
  }

  #windowOf(id: string): number | undefined {
    if (owningIncarnation(id) !== this.#incarnation) return undefined;
    const suffix = id.slice(this.#incarnation.length + 1);
    const digits = suffix.slice(0, Math.max(0, suffix.indexOf(WINDOW_SEPARATOR)));
    const window = Number.parseInt(digits, RADIX);
    return window.toString(RADIX) === digits ? window : undefined;
  }
}
