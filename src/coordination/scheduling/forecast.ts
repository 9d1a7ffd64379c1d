import type { EndpointState } from './EndpointState.ts';
import { Heap } from './Heap.ts';
import { holdsSlot, remainingOf, type Ticket } from './Ticket.ts';

/** Time for a suspension to free its slot. */
const SUSPENSION_MS = 20;
/** Slots looked at for a ticket that would be late at the one that frees first. */
const MAXIMUM_TRIES = 3;
/** A ticket is called late only if it would need more than this many times its remaining time. */
const LATENESS_MARGIN = 1.0;

interface Slot {
  readonly state: EndpointState;
  readonly freeAt: number;
}

interface Victim {
  readonly ticket: Ticket;
  readonly slot: Slot;
}

/** A running ticket that is to yield its slot to a waiting one of a higher tier. */
export interface Yielding {
  readonly ticket: Ticket;
  readonly inFavourOf: Ticket;
}

/** What is to be expected of the waiting tickets. */
export interface Forecast {
  /** Tickets that would end after their deadlines, in the order of placement. */
  readonly late: readonly Ticket[];
  readonly yielding: readonly Yielding[];
  /** When the last waiting ticket of each tier would start, by rank. */
  readonly startOfLast: ReadonlyMap<number, number>;
}

const freesEarlier = (a: Slot, b: Slot): boolean => a.freeAt < b.freeAt;

const slotsOf = (state: EndpointState, now: number): readonly Slot[] => {
  const running = [...state.tickets.values()].filter(holdsSlot);
  const busy = running.map((ticket) => ({ state, freeAt: now + remainingOf(ticket, now) }));
  const free = Math.max(0, state.host.free(now));
  return [...busy, ...Array.from({ length: free }, () => ({ state, freeAt: now }))];
};

/** Running tickets that may be suspended with the slots that they would free, cheapest first. */
const victimsOf = (states: readonly EndpointState[], now: number): Victim[] => {
  const slackOf = (ticket: Ticket): number => ticket.deadlineAt - now - remainingOf(ticket, now);
  return states
    .flatMap((state) =>
      [...state.tickets.values()]
        .filter((ticket) => ticket.state._tag === 'granted' && ticket.reservation.suspendable)
        .map((ticket) => ({ ticket, slot: { state, freeAt: now + SUSPENSION_MS } })),
    )
    .sort(
      ({ ticket: a }, { ticket: b }) =>
        b.reservation.tierRank - a.reservation.tierRank || slackOf(b) - slackOf(a),
    );
};

/**
 * Plays the waiting tickets through the slots in their order, each into the slot that frees first.
 *
 * @param tickets - the waiting tickets, first placed first
 * @param states - the endpoints that may take them
 * @param now - present time in ms
 * @returns which will be late, and which running ones have to yield so that higher tiers are not
 */
export const forecast = (
  tickets: readonly Ticket[],
  states: readonly EndpointState[],
  now: number,
): Forecast => {
  const slots = new Heap<Slot>(freesEarlier);
  states.flatMap((state) => slotsOf(state, now)).forEach((slot) => slots.push(slot));
  const victims = victimsOf(states, now);
  const late: Ticket[] = [];
  const yielding: Yielding[] = [];
  const startOfLast = new Map<number, number>();

  const endIn = ({ state, freeAt }: Slot, ticket: Ticket): number =>
    freeAt + state.estimateFull(ticket);
  const isTimely = (slot: Slot, ticket: Ticket): boolean =>
    ticket.isPressed || endIn(slot, ticket) - now <= (ticket.deadlineAt - now) * LATENESS_MARGIN;

  const takeSlot = (ticket: Ticket): Slot | undefined => {
    const passed: Slot[] = [];
    let slot = slots.pop();
    while (slot !== undefined && !isTimely(slot, ticket)) {
      passed.push(slot);
      slot = passed.length < MAXIMUM_TRIES ? slots.pop() : undefined;
    }
    passed.forEach((other) => slots.push(other));
    return slot;
  };

  const takeVictim = (ticket: Ticket): Slot | undefined => {
    const { tierRank } = ticket.reservation;
    const index = victims.findIndex(
      (victim) => victim.ticket.reservation.tierRank > tierRank && isTimely(victim.slot, ticket),
    );
    const [victim] = index < 0 ? [] : victims.splice(index, 1);
    if (victim !== undefined) yielding.push({ ticket: victim.ticket, inFavourOf: ticket });
    return victim?.slot;
  };

  tickets.forEach((ticket) => {
    // One that is pressed has no time to wait for a slot to free by itself.
    const slot = ticket.isPressed
      ? (takeVictim(ticket) ?? takeSlot(ticket))
      : (takeSlot(ticket) ?? takeVictim(ticket));
    if (slot === undefined) {
      late.push(ticket);
      return;
    }
    startOfLast.set(ticket.reservation.tierRank, slot.freeAt);
    slots.push({ state: slot.state, freeAt: endIn(slot, ticket) });
  });
  return { late, yielding, startOfLast };
};
