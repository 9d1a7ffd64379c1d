import type { NotRunReason } from '../../state/RequestOutcome.ts';

const KEEP_MS = 600_000;
const MAXIMUM_KEPT = 200_000;

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

interface PastTicket {
  readonly end: TicketEnd;
  readonly endedAt: number;
}

/** Ends of tickets, kept for ten minutes and bounded in number. */
export class TicketHistory {
  readonly #past = new Map<string, PastTicket>();

  #droppedAt: number | undefined;

  /** @returns number of ids kept */
  get size(): number {
    return this.#past.size;
  }

  /**
   * Tells whether ids were dropped before their time, so that an unknown id proves nothing.
   *
   * @returns true for ten minutes after a drop
   */
  get hasGaps(): boolean {
    return this.#droppedAt !== undefined;
  }

  /** @returns how a ticket ended, or undefined where that isn't known */
  find(id: string): TicketEnd | undefined {
    return this.#past.get(id)?.end;
  }

  /** Notes an end, also over an earlier one. */
  add(id: string, end: TicketEnd, now: number): void {
    this.#past.delete(id);
    this.#past.set(id, { end, endedAt: now });
    if (this.#past.size <= MAXIMUM_KEPT) return;
    this.#droppedAt = now;
    this.#dropOldest();
  }

  /** Forgets an end, since its id was reserved anew. */
  remove(id: string): void {
    this.#past.delete(id);
  }

  /** Forgets what is older than the time to keep. */
  expire(now: number): void {
    let oldest = this.#past.values().next();
    while (oldest.done !== true && now - oldest.value.endedAt > KEEP_MS) {
      this.#dropOldest();
      oldest = this.#past.values().next();
    }
    if (this.#droppedAt !== undefined && now - this.#droppedAt > KEEP_MS) {
      this.#droppedAt = undefined;
    }
  }

  #dropOldest(): void {
    const { done, value } = this.#past.keys().next();
    if (done !== true) this.#past.delete(value);
  }
}
