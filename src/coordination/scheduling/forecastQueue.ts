import type { EndpointState } from './EndpointState.ts';
import { Heap } from './Heap.ts';
import { holdsSlot, remainingTimeOf, type Ticket } from './Ticket.ts';

/** Expected time from the request to suspend a ticket until its slot is free. */
const SUSPENSION_DELAY_MS = 20;
/** Number of slots, the earliest free first, in which a ticket is tried before it counts as late. */
const MAXIMUM_SLOTS_TRIED = 3;
/** A ticket is late if its expected finish exceeds this multiple of its remaining time. */
const LATENESS_FACTOR = 1.0;

interface ForecastSlot {
  readonly state: EndpointState;
  readonly freeAt: number;
}

interface Victim {
  readonly ticket: Ticket;
  readonly slot: ForecastSlot;
}

/** A running ticket that is to be suspended for a waiting one of a higher tier. */
export interface Preemption {
  readonly ticket: Ticket;
  readonly inFavourOf: Ticket;
}

/** Result of a simulation of the queue. */
export interface QueueForecast {
  /** Tickets that would finish after their deadlines, in placement order. */
  readonly late: readonly Ticket[];
  readonly preemptions: readonly Preemption[];
  /** Time at which the last waiting ticket of each tier would start, in ms, by tier rank. */
  readonly lastStartByRank: ReadonlyMap<number, number>;
}

const isFreeEarlier = (a: ForecastSlot, b: ForecastSlot): boolean => a.freeAt < b.freeAt;

const listSlots = (state: EndpointState, now: number): readonly ForecastSlot[] => {
  const running = [...state.tickets.values()].filter(holdsSlot);
  const busy = running.map((ticket) => ({ state, freeAt: now + remainingTimeOf(ticket, now) }));
  const free = Math.max(0, state.addressSlots.freeSlots(now));
  return [...busy, ...Array.from({ length: free }, () => ({ state, freeAt: now }))];
};

/** Lists the running tickets that may be suspended: lowest tier first, then most slack first. */
const listVictims = (states: readonly EndpointState[], now: number): Victim[] => {
  const slackOf = (ticket: Ticket): number =>
    ticket.deadlineAt - now - remainingTimeOf(ticket, now);
  return states
    .flatMap((state) =>
      [...state.tickets.values()]
        .filter((ticket) => ticket.state._tag === 'granted' && ticket.reservation.suspendable)
        .map((ticket) => ({ ticket, slot: { state, freeAt: now + SUSPENSION_DELAY_MS } })),
    )
    .sort(
      ({ ticket: a }, { ticket: b }) =>
        b.reservation.tierRank - a.reservation.tierRank || slackOf(b) - slackOf(a),
    );
};

/**
 * Simulates the queue: each waiting ticket, in placement order, takes the earliest free slot in
 * which it meets its deadline, out of the first few. If there is none, a suspendable ticket of a
 * lower tier is preempted.
 *
 * @param tickets - the waiting tickets in placement order
 * @param states - the endpoints that count as capacity
 * @param now - present time in ms
 * @returns the late tickets, the running tickets to preempt, and the last start of each tier
 */
export const forecastQueue = (
  tickets: readonly Ticket[],
  states: readonly EndpointState[],
  now: number,
): QueueForecast => {
  const slots = new Heap<ForecastSlot>(isFreeEarlier);
  states.flatMap((state) => listSlots(state, now)).forEach((slot) => slots.push(slot));
  const victims = listVictims(states, now);
  const late: Ticket[] = [];
  const preemptions: Preemption[] = [];
  const lastStartByRank = new Map<number, number>();

  const finishAt = ({ state, freeAt }: ForecastSlot, ticket: Ticket): number =>
    freeAt + state.estimateWhenFull(ticket);
  const meetsDeadline = (slot: ForecastSlot, ticket: Ticket): boolean =>
    ticket.mayFinishLate ||
    finishAt(slot, ticket) - now <= (ticket.deadlineAt - now) * LATENESS_FACTOR;

  const takeSlot = (ticket: Ticket): ForecastSlot | undefined => {
    const rejected: ForecastSlot[] = [];
    let slot = slots.pop();
    while (slot !== undefined && !meetsDeadline(slot, ticket)) {
      rejected.push(slot);
      slot = rejected.length < MAXIMUM_SLOTS_TRIED ? slots.pop() : undefined;
    }
    rejected.forEach((other) => slots.push(other));
    return slot;
  };

  const takeVictim = (ticket: Ticket): ForecastSlot | undefined => {
    const { tierRank } = ticket.reservation;
    const index = victims.findIndex(
      (victim) =>
        victim.ticket.reservation.tierRank > tierRank && meetsDeadline(victim.slot, ticket),
    );
    const [victim] = index < 0 ? [] : victims.splice(index, 1);
    if (victim !== undefined) preemptions.push({ ticket: victim.ticket, inFavourOf: ticket });
    return victim?.slot;
  };

  tickets.forEach((ticket) => {
    // A ticket that may finish late has no time to wait until a slot becomes free by itself.
    const slot = ticket.mayFinishLate
      ? (takeVictim(ticket) ?? takeSlot(ticket))
      : (takeSlot(ticket) ?? takeVictim(ticket));
    if (slot === undefined) {
      late.push(ticket);
      return;
    }
    lastStartByRank.set(ticket.reservation.tierRank, slot.freeAt);
    slots.push({ state: slot.state, freeAt: finishAt(slot, ticket) });
  });
  return { late, preemptions, lastStartByRank };
};
