import { owningIncarnation } from '../../state/RequestId.ts';
import { RequestWindow } from './RequestWindow.ts';

/** Ended incarnations that are still answered for; with their windows long closed, more would be idle. */
const MAXIMUM_FORMER = 16;

/**
 * The incarnations that this process has had. Only the present one takes requests; for former ones
 * the process still knows all that they took, and so also what they never took.
 */
export class OwnIncarnations {
  #current: string;

  readonly #windows = new Map<string, RequestWindow>();

  /** @param incarnation - the first incarnation */
  constructor(incarnation: string) {
    this.#current = incarnation;
    this.#windows.set(incarnation, new RequestWindow(incarnation));
  }

  /** @returns the present incarnation */
  get current(): string {
    return this.#current;
  }

  /**
   * Ends the present incarnation.
   *
   * @param incarnation - the one that follows
   */
  replace(incarnation: string): void {
    this.#current = incarnation;
    this.#windows.set(incarnation, new RequestWindow(incarnation));
    const [oldest] = this.#windows.keys();
    if (oldest !== undefined && this.#windows.size > MAXIMUM_FORMER + 1) {
      this.#windows.delete(oldest);
    }
  }

  /**
   * Tells whether an id may be taken as a new request.
   *
   * @param id - a request id
   * @param wallNow - present Unix time, ms
   * @returns true for ids of the present incarnation in an open window
   */
  acceptsNew(id: string, wallNow: number): boolean {
    return this.#windows.get(this.#current)?.acceptsNew(id, wallNow) ?? false;
  }

  /**
   * Tells whether an ended id may be forgotten.
   *
   * @param id - a request id
   * @param wallNow - present Unix time, ms
   * @returns false for as long as its outcome can be asked for
   */
  mayForget(id: string, wallNow: number): boolean {
    return this.#windows.get(owningIncarnation(id))?.mayForget(id, wallNow) ?? true;
  }

  /**
   * Tells whether an id that isn't known here was certainly never run, and never will be.
   *
   * @param id - a request id of which no record is kept
   * @param wallNow - present Unix time, ms
   * @returns true for ids of former incarnations whose records are all still kept
   */
  neverRan(id: string, wallNow: number): boolean {
    if (owningIncarnation(id) === this.#current) return false;
    const window = this.#windows.get(owningIncarnation(id));
    return window !== undefined && !window.mayForget(id, wallNow);
  }
}
