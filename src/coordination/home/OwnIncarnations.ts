import { owningIncarnation } from '../../state/RequestId.ts';
import { RequestIdWindows } from './RequestIdWindows.ts';

/** Former incarnations that are kept; the id windows of any older one have long closed. */
const MAXIMUM_FORMER_INCARNATIONS = 16;

/**
 * The incarnations that this process has had. Only the present one accepts requests. The process keeps
 * all records of the former ones, so an id of theirs without a record was never accepted.
 */
export class OwnIncarnations {
  #current: string;

  readonly #windowsByIncarnation = new Map<string, RequestIdWindows>();

  /** @param incarnation - the first incarnation of this process */
  constructor(incarnation: string) {
    this.#current = incarnation;
    this.#windowsByIncarnation.set(incarnation, new RequestIdWindows(incarnation));
  }

  /** @returns the present incarnation */
  get current(): string {
    return this.#current;
  }

  /**
   * Ends the present incarnation and starts the next one.
   *
   * @param incarnation - the next incarnation
   */
  replace(incarnation: string): void {
    this.#current = incarnation;
    this.#windowsByIncarnation.set(incarnation, new RequestIdWindows(incarnation));
    const [oldest] = this.#windowsByIncarnation.keys();
    if (oldest !== undefined && this.#windowsByIncarnation.size > MAXIMUM_FORMER_INCARNATIONS + 1) {
      this.#windowsByIncarnation.delete(oldest);
    }
  }

  /**
   * Tells whether an id may be accepted as a new request.
   *
   * @param id - a request id
   * @param wallNow - present Unix time, ms
   * @returns true for ids of the present incarnation in an open window
   */
  acceptsNew(id: string, wallNow: number): boolean {
    return this.#windowsByIncarnation.get(this.#current)?.acceptsNew(id, wallNow) ?? false;
  }

  /**
   * Tells whether the record of an ended request may be evicted.
   *
   * @param id - a request id
   * @param wallNow - present Unix time, ms
   * @returns false as long as callers may still ask for its outcome
   */
  mayEvict(id: string, wallNow: number): boolean {
    return this.#windowsByIncarnation.get(owningIncarnation(id))?.mayEvict(id, wallNow) ?? true;
  }

  /**
   * Tells whether an id without a record was certainly never run and never will be.
   *
   * @param id - a request id that has no record in this process
   * @param wallNow - present Unix time, ms
   * @returns true for an id of a former incarnation whose id window is still retained
   */
  neverRan(id: string, wallNow: number): boolean {
    if (owningIncarnation(id) === this.#current) return false;
    const window = this.#windowsByIncarnation.get(owningIncarnation(id));
    return window !== undefined && !window.mayEvict(id, wallNow);
  }
}
