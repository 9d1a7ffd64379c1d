import type { Action } from '../Action.ts';
import { subjectOf } from './answers.ts';
import { forecast, type Forecast, type Yielding } from './forecast.ts';
import type { Placer } from './Placer.ts';
import { askToYield, isWaiting, placementOf, type Ticket } from './Ticket.ts';
import type { Refusal, TicketBook } from './TicketBook.ts';

/** A ticket counts as hopeless only if it needs more than this many times its remaining time. */
const HOPELESS_MARGIN = 1.1;
const NO_ENDPOINT_RETRY_MS = 1_000;
/** A home that didn't answer to a suspension is asked again after this long. */
const SUSPEND_AGAIN_MS = 500;

/**
 * Says which tickets are refused, and which running ones yield. A ticket is refused as soon as it
 * can't be served in time, but never for load while lower tiers of the pool wait or run.
 */
export class AdmissionControl {
  readonly #book: TicketBook;

  readonly #placer: Placer;

  readonly #refusesEarly: boolean;

  #lastForecast: Forecast | undefined;

  /**
   * @param book - the pool's tickets
   * @param placer - where tickets can go
   * @param refusesEarly - false for the baseline that only refuses at the deadline
   */
  constructor(book: TicketBook, placer: Placer, refusesEarly: boolean) {
    this.#book = book;
    this.#placer = placer;
    this.#refusesEarly = refusesEarly;
  }

  /**
   * Judges a ticket on arrival by what doesn't depend on load.
   *
   * @param ticket - the ticket
   * @param now - present time in ms
   * @returns why it is refused, or undefined where it may wait
   */
  judgeArrival({ reservation, workMs }: Ticket, now: number): Refusal | undefined {
    if (this.#placer.usable().length === 0) {
      const detail = 'no endpoint of the pool may get work';
      return { reason: 'no_endpoint', detail, expectedMs: NO_ENDPOINT_RETRY_MS };
    }
    const { remainingMs, tierRank } = reservation;
    if (remainingMs <= 0) {
      return { reason: 'deadline_passed', detail: 'no time left on arrival', expectedMs: 0 };
    }
    if (!this.#refusesEarly || workMs <= remainingMs * HOPELESS_MARGIN) return undefined;
    const needs = `${Math.round(workMs)} ms on an idle endpoint`;
    const detail = `needs ${needs}, has ${Math.round(remainingMs)} ms`;
    return { reason: 'deadline_too_short', detail, expectedMs: this.#drainMs(tierRank, now) };
  }

  /**
   * Judges all waiting tickets.
   *
   * @param now - present time in ms
   * @returns refusals and suspensions
   */
  sweep(now: number): Action[] {
    const tickets = this.#book.queue.inOrder();
    const expired = this.#refuseExpired(tickets, now);
    if (!this.#refusesEarly) return expired;
    const givenUp = tickets
      .filter((ticket) => this.#isHopeless(ticket, now))
      .reverse()
      .flatMap((ticket) => this.#giveUp(ticket, now));
    const outlook = this.#lookAhead(tickets.filter(isWaiting), now);
    return [...expired, ...givenUp, ...outlook, ...this.#suspendAgain(now)];
  }

  #refuseExpired(tickets: readonly Ticket[], now: number): Action[] {
    const detail = 'waited to its deadline';
    return tickets
      .filter(({ deadlineAt }) => now >= deadlineAt)
      .flatMap((ticket) =>
        this.#book.refuse(ticket, { reason: 'deadline_passed', detail, expectedMs: 0 }, now),
      );
  }

  #lookAhead(tickets: readonly Ticket[], now: number): Action[] {
    const states = this.#placer.capacity(now);
    if (states.length === 0) return [];
    const outlook = forecast(tickets, states, now);
    this.#lastForecast = outlook;
    return [
      ...[...outlook.late].reverse().flatMap((ticket) => this.#refuseLate(ticket, now)),
      ...outlook.yielding.flatMap((yielding) => AdmissionControl.#suspend(yielding, now)),
    ];
  }

  /** Expected time until what waits in a tier and above has been started. */
  #drainMs(tierRank: number, now: number): number {
    const starts = [...(this.#lastForecast?.startOfLast ?? [])]
      .filter(([rank]) => rank <= tierRank)
      .map(([, startAt]) => startAt - now);
    return Math.max(0, ...starts);
  }

  #isHopeless(ticket: Ticket, now: number): boolean {
    const limitMs = (ticket.deadlineAt - now) * HOPELESS_MARGIN;
    // The estimate of the arrival is looked up anew only where it matters.
    if (!isWaiting(ticket) || ticket.workMs <= limitMs) return false;
    const { workMs } = this.#placer.estimateWhenIdle(ticket.reservation);
    return Number.isFinite(workMs) && workMs > limitMs;
  }

  /**
   * Refuses a ticket that can't be served in time any more, all lower tiers that wait before it. While
   * lower tiers run it isn't refused but takes the next slot, even if it will probably end late.
   */
  #giveUp(ticket: Ticket, now: number): Action[] {
    const { id, tierRank } = ticket.reservation;
    const { queue, granted: running } = this.#book;
    if (!isWaiting(ticket)) return [];
    if (running.countBelow(tierRank) > 0) {
      ticket.isPressed = true;
      return [];
    }
    const expectedMs = this.#drainMs(tierRank, now);
    const evicted = queue.below(tierRank).flatMap((lower) => {
      const detail = `evicted before ${id} of tier ${tierRank} was refused`;
      return this.#book.refuse(lower, { reason: 'overloaded', detail, expectedMs }, now);
    });
    const detail = 'the queue left too little time';
    const refused = this.#book.refuse(ticket, { reason: 'overloaded', detail, expectedMs }, now);
    return [...evicted, ...refused];
  }

  /** Refuses a ticket that is expected to be late, unless lower tiers wait or run. */
  #refuseLate(ticket: Ticket, now: number): Action[] {
    const { tierRank } = ticket.reservation;
    const { queue, granted: running } = this.#book;
    const lower = queue.countBelow(tierRank) + running.countBelow(tierRank);
    if (!isWaiting(ticket) || lower > 0) return [];
    const expectedMs = this.#drainMs(tierRank, now);
    const detail = 'expected to end after its deadline';
    return this.#book.refuse(ticket, { reason: 'overloaded', detail, expectedMs }, now);
  }

  static #suspend({ ticket, inFavourOf }: Yielding, now: number): Action[] {
    const { id } = ticket.reservation;
    const endpoint = placementOf(ticket)?.endpoint ?? '';
    askToYield(ticket, now);
    const favoured = inFavourOf.reservation.id;
    return [
      { _tag: 'send', to: ticket.owner, message: { _tag: 'suspend', id } },
      {
        _tag: 'decide',
        decision: { _tag: 'suspended', ...subjectOf(ticket), endpoint, inFavourOf: favoured },
      },
    ];
  }

  #suspendAgain(now: number): Action[] {
    return this.#book.granted.all().flatMap((ticket): Action[] => {
      const { state, owner: home, reservation } = ticket;
      if (state._tag !== 'suspending' || now - state.askedAt < SUSPEND_AGAIN_MS) return [];
      askToYield(ticket, now);
      return [{ _tag: 'send', to: home, message: { _tag: 'suspend', id: reservation.id } }];
    });
  }
}
