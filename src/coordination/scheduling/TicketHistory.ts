import type { NotRunReason } from '../../state/Outcome.ts';

const RETENTION_MS = 600_000;
const MAXIMUM_ENDED_TICKETS = 200_000;

/** How a ticket ended. */
export type TicketEnd =
  /** Never granted, and told so. */
  | { readonly _tag: 'refused'; readonly reason: NotRunReason; readonly retryAfterMs: number }
  /** Waited here when its home was lost, or when the id was made void. */
  | { readonly _tag: 'abandoned' }
  /** Taken back by its home while it waited; it may be reserved again. */
  | { readonly _tag: 'withdrawn' }
  /** Granted, and given back unused; it may be reserved again. */
  | { readonly _tag: 'givenBack' }
  /** Granted, and over; it may have run. */
  | { readonly _tag: 'released' };

interface EndedTicket {
  readonly end: TicketEnd;
  readonly endedAt: number;
}

/** Ends of tickets, kept for ten minutes and bounded in number. */
export class TicketHistory {
  readonly #ended = new Map<string, EndedTicket>();

  #evictedEarlyAt: number | undefined;

  /** @returns number of ids kept */
  get size(): number {
    return this.#ended.size;
  }

  /**
   * Tells whether ids were dropped before their time, so that an unknown id proves nothing.
   *
   * @returns true for ten minutes after a drop
   */
  get isIncomplete(): boolean {
    return this.#evictedEarlyAt !== undefined;
  }

  /** @returns how a ticket ended, or undefined where that isn't known */
  find(id: string): TicketEnd | undefined {
    return this.#ended.get(id)?.end;
  }

  /** Notes an end, also over an earlier one. */
  record(id: string, end: TicketEnd, now: number): void {
    this.#ended.delete(id);
    this.#ended.set(id, { end, endedAt: now });
    if (this.#ended.size <= MAXIMUM_ENDED_TICKETS) return;
    this.#evictedEarlyAt = now;
    this.#evictOldest();
  }

  /** Forgets an end, since its id was reserved anew. */
  remove(id: string): void {
    this.#ended.delete(id);
  }

  /** Forgets what is older than the time to keep. */
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
