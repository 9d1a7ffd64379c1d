import type { Reservation } from '../../protocol/peer/PeerMessage.ts';
import type { NotRunReason } from '../../state/RequestOutcome.ts';
import type { EntrySettings } from '../../state/EntrySettings.ts';
import type { Action } from '../Action.ts';
import { createRefusedMessage, decisionSubjectOf } from './ticketMessages.ts';
import { computeRetryAfterMs } from './computeRetryAfterMs.ts';
import { GrantedTickets } from './GrantedTickets.ts';
import type { Ticket } from './Ticket.ts';
import { TicketHistory, type TicketEnd } from './TicketHistory.ts';
import { WaitingQueue } from './WaitingQueue.ts';

/** Time for which lost owners and voided ids are remembered. */
const RETENTION_MS = 600_000;
/** A ticket's sort key is at most its arrival time plus this multiple of its idle service time. */
const MAXIMUM_STRETCH = 4;

/** Estimate for a request at its best endpoint if nothing else runs. */
export interface IdleEstimate {
  readonly idleServiceMs: number;
  /** Prompt tokens expected to be cached there. */
  readonly cachedTokens: number;
}

/** Why a ticket is refused. */
export interface Refusal {
  readonly reason: NotRunReason;
  readonly detail: string;
  /** Expected time until the cause is over, in ms. */
  readonly recoveryMs: number;
}

/**
 * What a scheduler knows about a request id, to decide whether the request may have run:
 *
 * - `waiting`: it waits here, or was refused or abandoned; it wasn't granted
 * - `granted`: it was or may have been granted
 * - `nothing`: the id is unknown, or was withdrawn before a grant
 * - `home_alive`: no grant is known here, and its owner (its home) may still be alive
 */
export type RequestFinding = 'waiting' | 'granted' | 'nothing' | 'home_alive';

/** All tickets of a pool: waiting, granted, and recently ended. */
export class TicketRegistry {
  readonly queue: WaitingQueue;

  readonly granted = new GrantedTickets();

  readonly history = new TicketHistory();

  readonly #waiting = new Map<string, Ticket>();

  /** Ids that must never be granted, with the time at which they were voided. */
  readonly #voidedIds = new Map<string, number>();

  /** Lost owners, with the time at which the loss was reported. */
  readonly #lostOwners = new Map<string, number>();

  readonly #order: EntrySettings['policy']['order'];

  #arrivalCount = 0;

  /**
   * @param order - ordering policy: by tier, client account and sort key, or by arrival for the
   * baselines
   */
  constructor(order: EntrySettings['policy']['order']) {
    this.#order = order;
    const isProduct = order === 'product';
    this.queue = new WaitingQueue({
      tierOf: ({ reservation }) => (isProduct ? reservation.tierRank : 0),
      accountOf: ({ reservation }) => (isProduct ? reservation.account : ''),
    });
  }

  /**
   * Finds a waiting ticket.
   *
   * @param id - the request's id
   * @returns the ticket, or undefined if there is none
   */
  findWaiting(id: string): Ticket | undefined {
    return this.#waiting.get(id);
  }

  /**
   * Tells whether a request must never be granted here.
   *
   * @param id - the request's id
   * @param owner - the incarnation that owns it
   * @returns true if the id was voided or the owner was lost
   */
  isGrantForbidden(id: string, owner: string): boolean {
    return this.#voidedIds.has(id) || this.#lostOwners.has(owner);
  }

  /**
   * Creates a ticket without enqueuing it.
   *
   * @param owner - the incarnation that owns the request
   * @param reservation - the request
   * @param idleEstimate - estimate at the best endpoint
   * @param now - present time in ms
   * @returns the ticket
   */
  create(owner: string, reservation: Reservation, idleEstimate: IdleEstimate, now: number): Ticket {
    const { idleServiceMs, cachedTokens } = idleEstimate;
    const deadlineAt = now + reservation.remainingMs;
    this.#arrivalCount += 1;
    const sortKey = Math.min(deadlineAt - idleServiceMs, now + MAXIMUM_STRETCH * idleServiceMs);
    return {
      reservation,
      owner,
      arrivedAt: now,
      deadlineAt,
      idleServiceMs,
      cachedTokens,
      arrivalNumber: this.#arrivalCount,
      orderKey: this.#order === 'product' ? sortKey : this.#arrivalCount,
      state: { _tag: 'waiting' },
      confirmedAt: now,
      slotExpiresAt: undefined,
      mayFinishLate: false,
      isTimingUnreliable: false,
    };
  }

  /**
   * Adds a ticket to the queue.
   *
   * @param ticket - the ticket
   */
  enqueue(ticket: Ticket): void {
    const { id } = ticket.reservation;
    this.history.remove(id);
    this.#waiting.set(id, ticket);
    this.queue.add(ticket);
  }

  /**
   * Records that a ticket taken from the queue was granted.
   *
   * @param ticket - the ticket
   */
  recordGrant(ticket: Ticket): void {
    this.queue.charge(ticket);
    this.#waiting.delete(ticket.reservation.id);
  }

  /**
   * Ends a waiting ticket.
   *
   * @param ticket - the ticket
   * @param end - how it ends
   * @param now - present time in ms
   */
  endWaiting(ticket: Ticket, end: TicketEnd, now: number): void {
    ticket.state = { _tag: 'ended' };
    this.queue.remove(ticket);
    this.#waiting.delete(ticket.reservation.id);
    this.history.record(ticket.reservation.id, end, now);
  }

  /**
   * Ends a granted ticket and frees its slot. Does nothing if the id isn't granted.
   *
   * @param id - the request's id
   * @param end - how it ends
   * @param now - present time in ms
   */
  endGranted(id: string, end: TicketEnd, now: number): void {
    if (this.granted.end(id, now) !== undefined) this.history.record(id, end, now);
  }

  /**
   * Refuses a ticket. Its id gets the same answer if it is reserved again.
   *
   * @param ticket - a waiting ticket, or one that has just arrived
   * @param refusal - why
   * @param now - present time in ms
   * @returns the refusal message and the decision
   */
  refuse(ticket: Ticket, { reason, detail, recoveryMs }: Refusal, now: number): Action[] {
    const { id, tierRank } = ticket.reservation;
    const retryAfterMs = computeRetryAfterMs(id, recoveryMs);
    const end: TicketEnd = { _tag: 'refused', reason, retryAfterMs };
    if (this.#waiting.has(id)) this.endWaiting(ticket, end, now);
    else this.history.record(id, end, now);
    return [
      createRefusedMessage(ticket.owner, id, reason, retryAfterMs),
      {
        _tag: 'decide',
        decision: {
          _tag: 'refused',
          ...decisionSubjectOf(ticket),
          reason,
          detail,
          retryAfterMs,
          lowerTierWaiting: this.queue.countLowerTiers(tierRank),
          lowerTierRunning: this.granted.countLowerTiers(tierRank),
        },
      },
    ];
  }

  /**
   * Ends a lost owner's waiting tickets and sets when its slots are freed.
   *
   * @param owner - the lost incarnation
   * @param now - present time in ms
   */
  handleOwnerLoss(owner: string, now: number): void {
    this.#lostOwners.set(owner, now);
    [...this.#waiting.values()]
      .filter((ticket) => ticket.owner === owner)
      .forEach((ticket) => this.endWaiting(ticket, { _tag: 'abandoned' }, now));
    this.granted.scheduleSlotExpiry(owner, now);
  }

  /**
   * Voids an id: it is never granted here, and stops waiting.
   *
   * @param id - the request's id
   * @param now - present time in ms
   */
  voidId(id: string, now: number): void {
    this.#voidedIds.set(id, now);
    const waiting = this.#waiting.get(id);
    if (waiting !== undefined) this.endWaiting(waiting, { _tag: 'abandoned' }, now);
  }

  /**
   * Tells what is known about an id.
   *
   * @param id - the request's id
   * @param ownerHeardRecently - whether the owner may still be alive
   * @returns the finding; `granted` also for an unknown id if the history is incomplete
   */
  findingOf(id: string, ownerHeardRecently: boolean): RequestFinding {
    const pastEnd = this.history.find(id)?._tag;
    const wasGranted = pastEnd === 'released' || pastEnd === 'givenBack';
    if (wasGranted || this.granted.find(id) !== undefined) return 'granted';
    if (ownerHeardRecently) return 'home_alive';
    const waited = this.#waiting.has(id) || pastEnd === 'refused' || pastEnd === 'abandoned';
    if (waited) return 'waiting';
    return this.history.isIncomplete ? 'granted' : 'nothing';
  }

  /**
   * Ends granted tickets that are past their limits, and removes old records.
   *
   * @param now - present time in ms
   */
  expire(now: number): void {
    this.granted.expiredIds(now).forEach((id) => this.endGranted(id, { _tag: 'released' }, now));
    this.history.expire(now);
    this.queue.compact();
    [this.#voidedIds, this.#lostOwners].forEach((map) =>
      map.forEach((at, key) => {
        if (now - at > RETENTION_MS) map.delete(key);
      }),
    );
  }
}
