import type {
  ActivePlacement,
  PlacementRefusalReason,
  PlacementTicket,
} from '../../../protocol/peer/GatewayMessages.ts';

/** Decision on a placement ticket; `decidedBy` is the incarnation whose scheduler made it. */
export type PlacementAnswer =
  | { readonly _tag: 'granted'; readonly endpoint: string; readonly decidedBy: string }
  | {
      readonly _tag: 'refused';
      readonly reason: PlacementRefusalReason;
      readonly retryAfterMs: number;
      readonly decidedBy: string;
    };

/** A placement ticket that no scheduler has decided yet. */
export interface PendingTicket {
  /** Its `quotaUnits` become 0 once a scheduler says that it has charged them. */
  ticket: PlacementTicket;
  /** Time of the request in ms, monotonic. */
  readonly requestedAt: number;
  /** Called once, with the decision. */
  readonly onAnswer: (answer: PlacementAnswer) => void;
  /** Incarnation of the gateway whose scheduler is to decide. */
  scheduler: string;
  /** When the ticket was last sent to that scheduler, in ms; `requestedAt` if absent. */
  sentAt?: number;
  /** Number of grants that came too late to be used. */
  lateGrants?: number;
}

interface HeldTicket {
  readonly ticket: PlacementTicket;
  readonly endpoint: string;
  readonly grantedAt: number;
  started: boolean;
}

/**
 * Deducts the time that a ticket has waited from its target and its deadline.
 *
 * @param pending - the ticket as it was requested
 * @param now - present time in ms, monotonic
 * @returns a copy of the ticket with the time that remains
 */
export const withRemainingTimes = (
  { ticket, requestedAt }: PendingTicket,
  now: number,
): PlacementTicket => {
  const waitedMs = now - requestedAt;
  const { excluded } = ticket;
  return {
    ...ticket,
    targetMs: ticket.targetMs - waitedMs,
    remainingMs: ticket.remainingMs - waitedMs,
    ...(excluded && {
      excluded: excluded.map(({ endpoint, forMs }) => ({
        endpoint,
        ...(forMs !== undefined && { forMs: forMs - waitedMs }),
      })),
    }),
  };
};

/** The placement tickets of this process: those that are pending and those that hold a slot. */
export class LocalTickets {
  readonly #pending = new Map<string, PendingTicket>();

  readonly #held = new Map<string, HeldTicket>();

  /** Adds a ticket that waits for a decision. */
  addPending(pending: PendingTicket): void {
    this.#pending.set(pending.ticket.id, pending);
  }

  /** Returns a pending ticket, or undefined if it was decided, withdrawn or never added. */
  findPending(id: string): PendingTicket | undefined {
    return this.#pending.get(id);
  }

  /** Returns a copy of the list of pending tickets, in the order in which they were added. */
  listPending(): readonly PendingTicket[] {
    return [...this.#pending.values()];
  }

  /** Whether a ticket has been pending for longer than a time in ms. */
  hasPendingFor(ms: number, now: number): boolean {
    return [...this.#pending.values()].some(({ requestedAt }) => now - requestedAt > ms);
  }

  /**
   * Removes a pending ticket without an answer.
   *
   * @param id - id of the ticket
   * @returns whether the ticket was pending
   */
  withdraw(id: string): boolean {
    return this.#pending.delete(id);
  }

  /**
   * Records that a grant of a pending ticket came too late, and that the ticket is sent again.
   *
   * @param id - id of the ticket
   * @param now - present time in ms, monotonic
   * @returns the number of its late grants
   */
  recordLateGrant(id: string, now: number): number {
    const entry = this.#pending.get(id);
    if (entry === undefined) return 0;
    entry.sentAt = now;
    entry.lateGrants = (entry.lateGrants ?? 0) + 1;
    return entry.lateGrants;
  }

  /** Removes a pending ticket and passes the decision to its `onAnswer`. */
  answer(id: string, answer: PlacementAnswer): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    this.#pending.delete(id);
    pending.onAnswer(answer);
  }

  /**
   * Refuses the pending ticket of a second copy: a gateway that decides alone doesn't know the load of the service.
   *
   * @param pending - the ticket
   * @param own - incarnation of this process
   * @returns whether the ticket is one of a second copy
   */
  refuseHedge({ ticket }: PendingTicket, own: string): boolean {
    if (ticket.hedge === undefined) return false;
    const refusal = { reason: 'overload', retryAfterMs: 0, decidedBy: own } as const;
    this.answer(ticket.id, { _tag: 'refused', ...refusal });
    return true;
  }

  /**
   * Records the slot that a pending ticket was granted, and answers the ticket.
   *
   * @param id - id of the ticket
   * @param endpoint - id of the endpoint that has the slot
   * @param grantedBy - incarnation of the gateway whose scheduler granted it
   * @param now - present time in ms, monotonic
   * @returns whether the ticket was pending
   */
  grant(id: string, endpoint: string, grantedBy: string, now: number): boolean {
    const pending = this.#pending.get(id);
    if (pending === undefined) return false;
    const { ticket } = pending;
    this.#held.set(id, { ticket, endpoint, grantedAt: now, started: false });
    this.answer(id, { _tag: 'granted', endpoint, decidedBy: grantedBy });
    return true;
  }

  /** Records that the first token has arrived; returns false if the ticket holds no slot. */
  markStarted(id: string): boolean {
    const held = this.#held.get(id);
    if (held === undefined) return false;
    held.started = true;
    return true;
  }

  /** Releases the slot of a ticket; returns false if the ticket holds none. */
  release(id: string): boolean {
    return this.#held.delete(id);
  }

  /** Number of pending tickets. */
  get waitingCount(): number {
    return this.#pending.size;
  }

  /** Number of tickets that hold a slot. */
  get heldCount(): number {
    return this.#held.size;
  }

  /** Returns the held slots in the form in which they are reported to a scheduler. */
  listHeld(now: number): ActivePlacement[] {
    return [...this.#held.values()].map(({ ticket, endpoint, grantedAt, started }) => ({
      ticket,
      endpoint,
      ageMs: now - grantedAt,
      started,
    }));
  }

  /**
   * Returns what is reported to a scheduler: the held slots, and the pending tickets that it is to decide.
   *
   * @param own - incarnation of this process, whose own scheduler decides the other pending tickets
   * @param now - present time in ms, monotonic
   */
  report(
    own: string,
    now: number,
  ): { readonly running: ActivePlacement[]; readonly waiting: PlacementTicket[] } {
    const waiting = this.listPending().filter(({ scheduler }) => scheduler !== own);
    return {
      running: this.listHeld(now),
      waiting: waiting.map((pending) => withRemainingTimes(pending, now)),
    };
  }

  /**
   * Marks pending tickets whose quota the scheduler says that it has charged. The next scheduler then charges
   * only the others.
   *
   * @param ids - ids of the tickets; those that aren't pending are ignored
   */
  markQuotaCharged(ids: readonly string[]): void {
    ids.forEach((id) => {
      const entry = this.#pending.get(id);
      if (entry !== undefined) entry.ticket = { ...entry.ticket, quotaUnits: 0 };
    });
  }
}
