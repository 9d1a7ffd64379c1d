import type { NotRunReason } from '../../state/RequestOutcome.ts';

const RETENTION_MS = 600_000;
const MAXIMUM_ENDED_TICKETS = 200_000;

/** How a ticket ended. */
export type TicketEnd =
  /** Refused without a grant; the owner was told. */
  | { readonly _tag: 'refused'; readonly reason: NotRunReason; readonly retryAfterMs: number }
  /** Was waiting when its owner was lost or its id was voided. */
  | { readonly _tag: 'abandoned' }
  /** Withdrawn by its owner while it waited; it may be reserved again. */
  | { readonly _tag: 'withdrawn' }
  /** Granted and returned unused; it may be reserved again. */
  | { readonly _tag: 'givenBack' }
  /** Granted and ended; it may have run. */
  | { readonly _tag: 'released' };

interface EndedTicket {
  readonly end: TicketEnd;
  readonly endedAt: number;
}

/** Records how tickets ended; kept for ten minutes and bounded in number. */
export class TicketHistory {
  readonly #ended = new Map<string, EndedTicket>();

  /** Time of the last eviction of a record before its retention time, in ms. */
  #evictedEarlyAt: number | undefined;

  /** @returns number of ended tickets on record */
  get size(): number {
    return this.#ended.size;
  }

  /**
   * Tells whether tickets were evicted before the retention time was over. If so, an unknown id
   * doesn't prove that the request was never granted.
   *
   * @returns true until the retention time has passed since the last early eviction
   */
  get isIncomplete(): boolean {
    return this.#evictedEarlyAt !== undefined;
  }

  /**
   * Finds how a ticket ended.
   *
   * @param id - the request's id
   * @returns its end, or undefined if the id is unknown
   */
  find(id: string): TicketEnd | undefined {
    return this.#ended.get(id)?.end;
  }

  /**
   * Records how a ticket ended; replaces an earlier record of the same id.
   *
   * @param id - the request's id
   * @param end - how it ended
   * @param now - present time in ms
   */
  record(id: string, end: TicketEnd, now: number): void {
    this.#ended.delete(id);
    this.#ended.set(id, { end, endedAt: now });
    if (this.#ended.size <= MAXIMUM_ENDED_TICKETS) return;
    this.#evictedEarlyAt = now;
    this.#evictOldest();
  }

  /**
   * Removes the record of an id that is reserved again.
   *
   * @param id - the request's id
   */
  remove(id: string): void {
    this.#ended.delete(id);
  }

  /**
   * Removes the records that are older than the retention time.
   *
   * @param now - present time in ms
   */
  expire(now: number): void {
    let oldest = this.#ended.values().next();
    while (oldest.done !== true && now - oldest.value.endedAt > RETENTION_MS) {
      this.#evictOldest();
      oldest = this.#ended.values().next();
    }
    if (this.#evictedEarlyAt !== undefined && now - this.#evictedEarlyAt > RETENTION_MS) {
      this.#evictedEarlyAt = undefined;
    }
  }

  #evictOldest(): void {
    const { done, value } = this.#ended.keys().next();
    if (done !== true) this.#ended.delete(value);
  }
}
