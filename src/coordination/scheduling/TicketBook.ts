import type { Reservation } from '../../protocol/peer/PeerMessage.ts';
import type { NotRunReason } from '../../state/RequestOutcome.ts';
import type { EntrySettings } from '../../state/EntrySettings.ts';
import type { Action } from '../Action.ts';
import { refusalFor, subjectOf } from './answers.ts';
import { computeRetryAfterMs } from './retryAfter.ts';
import { RunningTickets } from './RunningTickets.ts';
import type { Ticket } from './Ticket.ts';
import { TicketHistory, type TicketEnd } from './TicketHistory.ts';
import { WaitingQueue } from './WaitingQueue.ts';

/** Homes and void ids are remembered as such for this long. */
const KEEP_MS = 600_000;
/** How much later, in multiples of its own length, a long ticket may be placed than a short one. */
const STRETCH = 4;

/** What a request would find at its best endpoint with nothing else running. */
export interface Alone {
  readonly workMs: number;
  readonly cachedTokens: number;
}

/** Why a ticket is refused. */
export interface Refusal {
  readonly reason: NotRunReason;
  readonly detail: string;
  /** When the cause is expected to be over, in ms from now. */
  readonly expectedMs: number;
}

/** What a scheduler can say of an id, for the question whether it may have run. */
export type RequestFinding = 'waiting' | 'granted' | 'nothing' | 'home_alive';

/** All tickets of a pool: waiting, granted, and ended ones for as long as they matter. */
export class TicketBook {
  readonly queue: WaitingQueue;

  readonly granted = new RunningTickets();

  readonly history = new TicketHistory();

  readonly #waiting = new Map<string, Ticket>();

  /** Ids that must never be granted, and homes that are gone, with the time of learning so. */
  readonly #voided = new Map<string, number>();

  readonly #lostHomes = new Map<string, number>();

  readonly #order: EntrySettings['policy']['order'];

  #arrivals = 0;

  /** @param order - how waiting tickets are ordered */
  constructor(order: EntrySettings['policy']['order']) {
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

  /** @returns whether a request of a home must never be granted here */
  isBarred(id: string, home: string): boolean {
    return this.#voided.has(id) || this.#lostHomes.has(home);
  }

  /** @returns a ticket for a reservation, in no list yet */
  create(home: string, reservation: Reservation, alone: Alone, now: number): Ticket {
    const { workMs, cachedTokens } = alone;
    const deadlineAt = now + reservation.remainingMs;
    this.#arrivals += 1;
    const productKey = Math.min(deadlineAt - workMs, now + STRETCH * workMs);
    return {
      reservation,
      owner: home,
      arrivedAt: now,
      deadlineAt,
      workMs,
      cachedTokens,
      arrivalNumber: this.#arrivals,
      orderKey: this.#order === 'product' ? productKey : this.#arrivals,
      state: { _tag: 'waiting' },
      confirmedAt: now,
      freeAt: undefined,
      isPressed: false,
      wasSuspended: false,
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
  stopWaiting(ticket: Ticket): void {
    this.queue.charge(ticket);
    this.#waiting.delete(ticket.reservation.id);
  }

  /** Ends a ticket that waits. */
  leaveQueue(ticket: Ticket, end: TicketEnd, now: number): void {
    ticket.state = { _tag: 'ended' };
    this.queue.remove(ticket);
    this.#waiting.delete(ticket.reservation.id);
    this.history.add(ticket.reservation.id, end, now);
  }

  /** Ends a ticket that was granted, and frees its slot. */
  endRunning(id: string, end: TicketEnd, now: number): void {
    if (this.granted.end(id, now) !== undefined) this.history.add(id, end, now);
  }

  /**
   * Refuses a ticket for good.
   *
   * @param ticket - a ticket that waits or has just arrived
   * @param refusal - why
   * @param now - present time in ms
   * @returns the answer and the decision
   */
  refuse(ticket: Ticket, { reason, detail, expectedMs }: Refusal, now: number): Action[] {
    const { id, tierRank } = ticket.reservation;
    const retryAfterMs = computeRetryAfterMs(id, expectedMs);
    const end: TicketEnd = { _tag: 'refused', reason, retryAfterMs };
    if (this.#waiting.has(id)) this.leaveQueue(ticket, end, now);
    else this.history.add(id, end, now);
    return [
      refusalFor(ticket.owner, id, reason, retryAfterMs),
      {
        _tag: 'decide',
        decision: {
          _tag: 'refused',
          ...subjectOf(ticket),
          reason,
          detail,
          retryAfterMs,
          lowerTierWaiting: this.queue.countBelow(tierRank),
          lowerTierRunning: this.granted.countBelow(tierRank),
        },
      },
    ];
  }

  /** Stops the waiting of a lost home's tickets and sets when its slots are freed. */
  handleOwnerLoss(home: string, now: number): void {
    this.#lostHomes.set(home, now);
    [...this.#waiting.values()]
      .filter((ticket) => ticket.owner === home)
      .forEach((ticket) => this.leaveQueue(ticket, { _tag: 'abandoned' }, now));
    this.granted.expireSlotsOfOwner(home, now);
  }

  /** Bars an id. */
  voidId(id: string, now: number): void {
    this.#voided.set(id, now);
    const waiting = this.#waiting.get(id);
    if (waiting !== undefined) this.leaveQueue(waiting, { _tag: 'abandoned' }, now);
  }

  /** @returns what is known of an id */
  findingOf(id: string, homeHeardRecently: boolean): RequestFinding {
    const past = this.history.find(id)?._tag;
    const wasGranted = past === 'released' || past === 'givenBack';
    if (wasGranted || this.granted.find(id) !== undefined) return 'granted';
    if (homeHeardRecently) return 'home_alive';
    const waited = this.#waiting.has(id) || past === 'refused' || past === 'abandoned';
    if (waited) return 'waiting';
    return this.history.hasGaps ? 'granted' : 'nothing';
  }

  /** Ends what nobody will release, and forgets what is old. */
  forget(now: number): void {
    this.granted.overdue(now).forEach((id) => this.endRunning(id, { _tag: 'released' }, now));
    this.history.expire(now);
    this.queue.compact();
    [this.#voided, this.#lostHomes].forEach((map) =>
      map.forEach((at, key) => {
        if (now - at > KEEP_MS) map.delete(key);
      }),
    );
  }
}
