import type { Reservation } from '../../protocol/peer/PeerMessage.ts';
import type { NotRunReason } from '../../state/Outcome.ts';
import type { Settings } from '../../state/Settings.ts';
import type { Action } from '../Action.ts';
import { createRefusedMessage, decisionSubjectOf } from './ticketMessages.ts';
import { computeRetryAfterMs } from './computeRetryAfterMs.ts';
import { GrantedTickets } from './GrantedTickets.ts';
import type { Ticket } from './Ticket.ts';
import { TicketHistory, type TicketEnd } from './TicketHistory.ts';
import { WaitingQueue } from './WaitingQueue.ts';

/** Homes and void ids are remembered as such for this long. */
const RETENTION_MS = 600_000;
/** How much later, in multiples of its own length, a long ticket may be placed than a short one. */
const MAXIMUM_STRETCH = 4;

/** What a request would find at its best endpoint with nothing else running. */
export interface IdleEstimate {
  readonly idleServiceMs: number;
  readonly cachedTokens: number;
}

/** Why a ticket is refused. */
export interface Refusal {
  readonly reason: NotRunReason;
  readonly detail: string;
  /** When the cause is expected to be over, in ms from now. */
  readonly recoveryMs: number;
}

/** What a scheduler can say of an id, for the question whether it may have run. */
export type RequestFinding = 'waiting' | 'granted' | 'nothing' | 'home_alive';

/** All tickets of a pool: waiting, granted, and ended ones for as long as they matter. */
export class TicketRegistry {
  readonly queue: WaitingQueue;

  readonly granted = new GrantedTickets();

  readonly history = new TicketHistory();

  readonly #waiting = new Map<string, Ticket>();

  /** Ids that must never be granted, and homes that are gone, with the time of learning so. */
  readonly #voidedIds = new Map<string, number>();

  readonly #lostOwners = new Map<string, number>();

  readonly #order: Settings['policy']['order'];

  #arrivalCount = 0;

  /** @param order - how waiting tickets are ordered */
  constructor(order: Settings['policy']['order']) {
    this.#order = order;
    const isProduct = order === 'product';
    this.queue = new WaitingQueue({
      tierOf: ({ reservation }) => (isProduct ? reservation.tierRank : 0),
      accountOf: ({ reservation }) => (isProduct ? reservation.account : ''),
    });
  }

  /** @returns the waiting ticket of an id */
  findWaiting(id: string): Ticket | undefined {
    return this.#waiting.get(id);
  }

  /** @returns whether a request of a owner must never be granted here */
  isGrantForbidden(id: string, owner: string): boolean {
    return this.#voidedIds.has(id) || this.#lostOwners.has(owner);
  }

  /** @returns a ticket for a reservation, in no list yet */
  create(owner: string, reservation: Reservation, idleEstimate: IdleEstimate, now: number): Ticket {
    const { idleServiceMs, cachedTokens } = idleEstimate;
    const deadlineAt = now + reservation.remainingMs;
    this.#arrivalCount += 1;
    const productKey = Math.min(deadlineAt - idleServiceMs, now + MAXIMUM_STRETCH * idleServiceMs);
    return {
      reservation,
      owner,
      arrivedAt: now,
      deadlineAt,
      idleServiceMs,
      cachedTokens,
      arrivalNumber: this.#arrivalCount,
      orderKey: this.#order === 'product' ? productKey : this.#arrivalCount,
      state: { _tag: 'waiting' },
      confirmedAt: now,
      slotExpiresAt: undefined,
      mayFinishLate: false,
      isTimingUnreliable: false,
    };
  }

  /** Lets a ticket wait. */
  enqueue(ticket: Ticket): void {
    const { id } = ticket.reservation;
    this.history.remove(id);
    this.#waiting.set(id, ticket);
    this.queue.add(ticket);
  }

  /** Notes that a ticket taken from the queue was granted. */
  recordGrant(ticket: Ticket): void {
    this.queue.charge(ticket);
    this.#waiting.delete(ticket.reservation.id);
  }

  /** Ends a ticket that waits. */
  endWaiting(ticket: Ticket, end: TicketEnd, now: number): void {
    ticket.state = { _tag: 'ended' };
    this.queue.remove(ticket);
    this.#waiting.delete(ticket.reservation.id);
    this.history.record(ticket.reservation.id, end, now);
  }

  /** Ends a ticket that was granted, and frees its slot. */
  endGranted(id: string, end: TicketEnd, now: number): void {
    if (this.granted.end(id, now) !== undefined) this.history.record(id, end, now);
  }

  /**
   * Refuses a ticket for good.
   *
   * @param ticket - a ticket that waits or has just arrived
   * @param refusal - why
   * @param now - present time in ms
   * @returns the answer and the decision
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

  /** Stops the waiting of a lost owner's tickets and sets when its slots are freed. */
  handleOwnerLoss(owner: string, now: number): void {
    this.#lostOwners.set(owner, now);
    [...this.#waiting.values()]
      .filter((ticket) => ticket.owner === owner)
      .forEach((ticket) => this.endWaiting(ticket, { _tag: 'abandoned' }, now));
    this.granted.expireSlotsOfOwner(owner, now);
  }

  /** Bars an id. */
  voidId(id: string, now: number): void {
    this.#voidedIds.set(id, now);
    const waiting = this.#waiting.get(id);
    if (waiting !== undefined) this.endWaiting(waiting, { _tag: 'abandoned' }, now);
  }

  /** @returns what is known of an id */
  findingOf(id: string, ownerHeardRecently: boolean): RequestFinding {
    const past = this.history.find(id)?._tag;
    const wasGranted = past === 'released' || past === 'givenBack';
    if (wasGranted || this.granted.find(id) !== undefined) return 'granted';
    if (ownerHeardRecently) return 'home_alive';
    const waited = this.#waiting.has(id) || past === 'refused' || past === 'abandoned';
    if (waited) return 'waiting';
    return this.history.isIncomplete ? 'granted' : 'nothing';
  }

  /** Ends what nobody will release, and forgets what is old. */
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
