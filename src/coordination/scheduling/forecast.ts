import type { EndpointState } from './EndpointState.ts';
import { Heap } from './Heap.ts';
import { holdsSlot, remainingOf, type Ticket } from './Ticket.ts';

/** Time for a suspension to free its slot. */
const SUSPENSION_MS = 20;
/** Slots looked at for a ticket that would be late at the one that frees first. */
const MAXIMUM_TRIES = 3;
/** A ticket is called late only if it would need more than this many times its remaining time. */
const LATENESS_MARGIN = 1.1;

interface Slot {
  readonly state: EndpointState;
  readonly freeAt: number;
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

const isFirst = (a: Slot, b: Slot): boolean => a.freeAt < b.freeAt;

const slotsOf = (state: EndpointState, now: number): readonly Slot[] => {
  const running = [...state.tickets.values()].filter(holdsSlot);
  const busy = running.map((ticket) => ({ state, freeAt: now + remainingOf(ticket, now) }));
  const free = Math.max(0, state.host.free(now));
  return [...busy, ...Array.from({ length: free }, () => ({ state, freeAt: now }))];
};

/** Running tickets that may be suspended, first the ones that lose least by it. */
const victimsOf = (states: readonly EndpointState[], now: number): Ticket[] => {
  const slackOf = (ticket: Ticket): number => ticket.deadlineAt - now - remainingOf(ticket, now);
  return states
    .flatMap(({ tickets }) => [...tickets.values()])
    .filter(({ state, reservation }) => state._tag === 'granted' && reservation.suspendable)
    .sort((a, b) => b.reservation.tierRank - a.reservation.tierRank || slackOf(b) - slackOf(a));
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
  const slots = new Heap<Slot>(isFirst);
  states.flatMap((state) => slotsOf(state, now)).forEach((slot) => slots.push(slot));
  const victims = victimsOf(states, now);
  const byName = new Map(states.map((state) => [state.endpoint.name, state]));
  const late: Ticket[] = [];
  const yielding: Yielding[] = [];
  const startOfLast = new Map<number, number>();

  const endIn = ({ state, freeAt }: Slot, { reservation }: Ticket): number =>
    freeAt + state.rate.estimate(state.workOf(reservation), state.host.slots);
  const isLateAt = (endsAt: number, { deadlineAt }: Ticket): boolean =>
    endsAt - now > (deadlineAt - now) * LATENESS_MARGIN;

  const takeSlot = (ticket: Ticket): Slot | undefined => {
    const passed: Slot[] = [];
    let slot = slots.pop();
    while (slot !== undefined && isLateAt(endIn(slot, ticket), ticket)) {
      passed.push(slot);
      slot = passed.length < MAXIMUM_TRIES ? slots.pop() : undefined;
    }
    passed.forEach((other) => slots.push(other));
    return slot;
  };

  const takeVictim = ({ reservation }: Ticket): Slot | undefined => {
    const victim = victims[0];
    if (victim === undefined || victim.reservation.tierRank <= reservation.tierRank) {
      return undefined;
    }
    victims.shift();
    const { state } = victim;
    const host = state._tag === 'granted' ? byName.get(state.placement.endpoint) : undefined;
    return host === undefined ? undefined : { state: host, freeAt: now + SUSPENSION_MS };
  };

  tickets.forEach((ticket) => {
    let slot = takeSlot(ticket);
    if (slot === undefined) {
      const victim = victims[0];
      slot = takeVictim(ticket);
      if (slot !== undefined && victim !== undefined) {
        yielding.push({ ticket: victim, inFavourOf: ticket });
      }
    }
    if (slot === undefined) {
      late.push(ticket);
      return;
    }
    startOfLast.set(ticket.reservation.tierRank, slot.freeAt);
    slots.push({ state: slot.state, freeAt: endIn(slot, ticket) });
  });
  return { late, yielding, startOfLast };
};
