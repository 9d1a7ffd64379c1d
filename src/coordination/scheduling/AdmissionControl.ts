import type { Action } from '../Action.ts';
import { decisionSubjectOf } from './ticketMessages.ts';
import { forecastQueue, type QueueForecast, type Preemption } from './forecastQueue.ts';
import type { TicketPlacer } from './TicketPlacer.ts';
import { markSuspending, isWaiting, placementOf, type Ticket } from './Ticket.ts';
import type { Refusal, TicketRegistry } from './TicketRegistry.ts';

/**
 * A deadline is unreachable if a ticket's idle service time exceeds this multiple of its remaining
 * time.
 */
const UNREACHABLE_DEADLINE_FACTOR = 1.1;
const NO_ENDPOINT_RETRY_MS = 1_000;
/** Time after which an unanswered suspension is sent to the owner again. */
const SUSPENSION_RETRY_MS = 500;

/**
 * Decides which tickets are refused and which running ones are suspended. A ticket is refused as
 * soon as it can't be served in time, but never because of load while lower tiers of the pool
 * are waiting or running.
 */
export class AdmissionControl {
  readonly #registry: TicketRegistry;

  readonly #placer: TicketPlacer;

  readonly #refusesEarly: boolean;

  #lastForecast: QueueForecast | undefined;

  /**
   * @param registry - the pool's tickets
   * @param placer - supplies the endpoints and their estimates
   * @param refusesEarly - false for the baseline that refuses only at the deadline
   */
  constructor(registry: TicketRegistry, placer: TicketPlacer, refusesEarly: boolean) {
    this.#registry = registry;
    this.#placer = placer;
    this.#refusesEarly = refusesEarly;
  }

  /**
   * Checks an arriving ticket against the limits that don't depend on load.
   *
   * @param ticket - the ticket
   * @param now - present time in ms
   * @returns why it is refused, or undefined if it may wait
   */
  checkArrival({ reservation, idleServiceMs }: Ticket, now: number): Refusal | undefined {
    if (this.#placer.eligibleEndpoints().length === 0) {
      const detail = 'no endpoint of the pool is eligible for new work';
      return { reason: 'no_endpoint', detail, recoveryMs: NO_ENDPOINT_RETRY_MS };
    }
    const { remainingMs, tierRank } = reservation;
    if (remainingMs <= 0) {
      return {
        reason: 'deadline_passed',
        detail: 'deadline passed before the reservation arrived',
        recoveryMs: 0,
      };
    }
    if (!this.#refusesEarly || idleServiceMs <= remainingMs * UNREACHABLE_DEADLINE_FACTOR)
      return undefined;
    const needed = `${Math.round(idleServiceMs)} ms on an idle endpoint`;
    const detail = `needs ${needed}, has ${Math.round(remainingMs)} ms`;
    return {
      reason: 'deadline_too_short',
      detail,
      recoveryMs: this.#estimateDrainMs(tierRank, now),
    };
  }

  /**
   * Refuses waiting tickets that can't meet their deadlines, and suspends running ones for higher
   * tiers.
   *
   * @param now - present time in ms
   * @returns refusals and suspensions
   */
  sweep(now: number): Action[] {
    const tickets = this.#registry.queue.inPlacementOrder();
    const expiryActions = this.#refuseExpired(tickets, now);
    if (!this.#refusesEarly) return expiryActions;
    const unreachableActions = tickets
      .filter((ticket) => this.#cannotMeetDeadline(ticket, now))
      .reverse()
      .flatMap((ticket) => this.#refuseUnreachable(ticket, now));
    const forecastActions = this.#applyForecast(tickets.filter(isWaiting), now);
    return [
      ...expiryActions,
      ...unreachableActions,
      ...forecastActions,
      ...this.#retrySuspensions(now),
    ];
  }

  #refuseExpired(tickets: readonly Ticket[], now: number): Action[] {
    const detail = 'deadline passed while waiting';
    return tickets
      .filter(({ deadlineAt }) => now >= deadlineAt)
      .flatMap((ticket) =>
        this.#registry.refuse(ticket, { reason: 'deadline_passed', detail, recoveryMs: 0 }, now),
      );
  }

  #applyForecast(tickets: readonly Ticket[], now: number): Action[] {
    const states = this.#placer.capacityEndpoints(now);
    if (states.length === 0) return [];
    const queueForecast = forecastQueue(tickets, states, now);
    this.#lastForecast = queueForecast;
    return [
      ...[...queueForecast.late].reverse().flatMap((ticket) => this.#refuseLate(ticket, now)),
      ...queueForecast.preemptions.flatMap((preemption) =>
        AdmissionControl.#suspend(preemption, now),
      ),
    ];
  }

  /** Estimates the time until all waiting tickets of a tier and those above have started, in ms. */
  #estimateDrainMs(tierRank: number, now: number): number {
    const starts = [...(this.#lastForecast?.lastStartByRank ?? [])]
      .filter(([rank]) => rank <= tierRank)
      .map(([, startAt]) => startAt - now);
    return Math.max(0, ...starts);
  }

  #cannotMeetDeadline(ticket: Ticket, now: number): boolean {
    const limitMs = (ticket.deadlineAt - now) * UNREACHABLE_DEADLINE_FACTOR;
    // The estimate made on arrival is recomputed only if it would lead to a refusal.
    if (!isWaiting(ticket) || ticket.idleServiceMs <= limitMs) return false;
    const { idleServiceMs } = this.#placer.estimateWhenIdle(ticket.reservation);
    return Number.isFinite(idleServiceMs) && idleServiceMs > limitMs;
  }

  /**
   * Refuses a ticket that can no longer meet its deadline, and before it all waiting tickets of
   * lower tiers. While lower tiers are running, nothing is refused; the ticket may then take a slot
   * although it will probably finish late.
   */
  #refuseUnreachable(ticket: Ticket, now: number): Action[] {
    const { id, tierRank } = ticket.reservation;
    const { queue, granted } = this.#registry;
    if (!isWaiting(ticket)) return [];
    if (granted.countLowerTiers(tierRank) > 0) {
      ticket.mayFinishLate = true;
      return [];
    }
    const recoveryMs = this.#estimateDrainMs(tierRank, now);
    const evicted = queue.inLowerTiers(tierRank).flatMap((lower) => {
      const detail = `evicted before ${id} of tier ${tierRank} was refused`;
      return this.#registry.refuse(lower, { reason: 'overloaded', detail, recoveryMs }, now);
    });
    const detail = 'too little time left after waiting in the queue';
    const refused = this.#registry.refuse(
      ticket,
      { reason: 'overloaded', detail, recoveryMs },
      now,
    );
    return [...evicted, ...refused];
  }

  /** Refuses a ticket expected to finish late, unless lower tiers are waiting or running. */
  #refuseLate(ticket: Ticket, now: number): Action[] {
    const { tierRank } = ticket.reservation;
    const { queue, granted } = this.#registry;
    const lower = queue.countLowerTiers(tierRank) + granted.countLowerTiers(tierRank);
    if (!isWaiting(ticket) || lower > 0) return [];
    const recoveryMs = this.#estimateDrainMs(tierRank, now);
    const detail = 'expected to finish after its deadline';
    return this.#registry.refuse(ticket, { reason: 'overloaded', detail, recoveryMs }, now);
  }

  static #suspend({ ticket, inFavourOf }: Preemption, now: number): Action[] {
    const { id } = ticket.reservation;
    const endpoint = placementOf(ticket)?.endpoint ?? '';
    markSuspending(ticket, now);
    const favouredId = inFavourOf.reservation.id;
    return [
      { _tag: 'send', to: ticket.owner, message: { _tag: 'suspend', id } },
      {
        _tag: 'decide',
        decision: {
          _tag: 'suspended',
          ...decisionSubjectOf(ticket),
          endpoint,
          inFavourOf: favouredId,
        },
      },
    ];
  }

  #retrySuspensions(now: number): Action[] {
    return this.#registry.granted.all().flatMap((ticket): Action[] => {
      const { state, owner, reservation } = ticket;
      if (state._tag !== 'suspending' || now - state.suspendRequestedAt < SUSPENSION_RETRY_MS)
        return [];
      markSuspending(ticket, now);
      return [{ _tag: 'send', to: owner, message: { _tag: 'suspend', id: reservation.id } }];
    });
  }
}
