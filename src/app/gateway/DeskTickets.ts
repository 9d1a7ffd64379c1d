import type {
  HeldPlacement,
  PlacementRefusal,
  PlacementTicket,
} from '../../protocol/peer/Placement.ts';

/** What becomes of a ticket. */
export type PlacementAnswer =
  | { readonly _tag: 'granted'; readonly endpoint: string; readonly decidedBy: string }
  | {
      readonly _tag: 'refused';
      readonly reason: PlacementRefusal;
      readonly retryAfterMs: number;
      readonly decidedBy: string;
    };

/** A ticket that waits for its answer. */
export interface PendingTicket {
  /** Asks for no more quota once a scheduler has counted it. */
  ticket: PlacementTicket;
  readonly askedAt: number;
  readonly onAnswer: (answer: PlacementAnswer) => void;
  /** Incarnation of the scheduler that was asked. */
  scheduler: string;
}

interface HeldTicket {
  readonly ticket: PlacementTicket;
  readonly endpoint: string;
  readonly grantedAt: number;
  started: boolean;
}

/**
 * Gives a ticket with the times that are left of it.
 *
 * @param pending - the ticket as it was asked for
 * @param now - present time in ms
 */
export const withRemainingTimes = (
  { ticket, askedAt }: PendingTicket,
  now: number,
): PlacementTicket => {
  const waitedMs = now - askedAt;
  return {
    ...ticket,
    targetMs: ticket.targetMs - waitedMs,
    remainingMs: ticket.remainingMs - waitedMs,
  };
};

/** The tickets of one process: those that wait for an answer, and those that hold a slot. */
export class DeskTickets {
  readonly #pending = new Map<string, PendingTicket>();

  readonly #held = new Map<string, HeldTicket>();

  add(pending: PendingTicket): void {
    this.#pending.set(pending.ticket.id, pending);
  }

  findPending(id: string): PendingTicket | undefined {
    return this.#pending.get(id);
  }

  listPending(): readonly PendingTicket[] {
    return [...this.#pending.values()];
  }

  /** Takes a ticket back; false where it doesn't wait. */
  withdraw(id: string): boolean {
    return this.#pending.delete(id);
  }

  /** Answers a ticket that waits. */
  answer(id: string, answer: PlacementAnswer): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    this.#pending.delete(id);
    pending.onAnswer(answer);
  }

  /** Gives a ticket that waits its slot; false where it doesn't wait any more. */
  grant(id: string, endpoint: string, by: string, now: number): boolean {
    const pending = this.#pending.get(id);
    if (pending === undefined) return false;
    const { ticket } = pending;
    this.#held.set(id, { ticket, endpoint, grantedAt: now, started: false });
    this.answer(id, { _tag: 'granted', endpoint, decidedBy: by });
    return true;
  }

  /** Notes the first token; false where the ticket holds no slot. */
  markStarted(id: string): boolean {
    const held = this.#held.get(id);
    if (held === undefined) return false;
    held.started = true;
    return true;
  }

  /** Gives a slot back; false where the ticket holds none. */
  release(id: string): boolean {
    return this.#held.delete(id);
  }

  get waitingCount(): number {
    return this.#pending.size;
  }

  get heldCount(): number {
    return this.#held.size;
  }

  /** Lists the slots that are held, as another process is told of them. */
  listHeld(now: number): HeldPlacement[] {
    return [...this.#held.values()].map(({ ticket, endpoint, grantedAt, started }) => ({
      ticket,
      endpoint,
      ageMs: now - grantedAt,
      started,
    }));
  }

  /**
   * Notes which tickets a scheduler has counted against their quotas: those that it was asked for
   * before it was last heard. Another one counts only the rest.
   */
  markCounted(scheduler: string, heardAt: number): void {
    this.#pending.forEach((entry) => {
      if (entry.scheduler !== scheduler || entry.askedAt >= heardAt) return;
      entry.ticket = { ...entry.ticket, quotaUnits: 0 };
    });
  }
}
