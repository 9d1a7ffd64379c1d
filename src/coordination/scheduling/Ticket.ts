import type { Reservation } from '../../protocol/peer/PeerMessage.ts';

/** Where a granted request runs. */
export interface Placement {
  readonly endpoint: string;
  readonly version: string;
  readonly grantedAt: number;
  readonly estimateMs: number;
  /** Prompt tokens that were expected to be cached. */
  readonly cachedTokens: number;
  /** Requests that the endpoint ran when this one joined, itself included. */
  readonly concurrency: number;
  /** Prompt tokens to be computed, and those of others that were ahead at the start. */
  readonly prefillTokens: number;
  readonly backlogTokens: number;
  readonly firstTokenMs: number;
}

/** How far a reservation is. Only `granted` and `suspending` take up a slot. */
export type TicketState =
  | { readonly _tag: 'waiting' }
  | { readonly _tag: 'granted'; readonly placement: Placement }
  | { readonly _tag: 'suspending'; readonly placement: Placement; readonly askedAt: number }
  | { readonly _tag: 'suspended'; readonly placement: Placement; readonly elapsedMs: number }
  | { readonly _tag: 'ended' };

/** One reservation that has not ended, as its pool's scheduler holds it. */
export interface Ticket {
  readonly reservation: Reservation;
  /** Incarnation that reserved. */
  readonly owner: string;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /** Expected time on an idle endpoint of the pool, in ms; what fairness between accounts counts. */
  readonly workMs: number;
  /** Prompt tokens that some endpoint probably had cached on arrival. */
  readonly cachedTokens: number;
  /** Sort key within an account: the smaller, the earlier. */
  readonly orderKey: number;
  /** Number of its arrival, by which equal keys are told apart. */
  readonly arrivalNumber: number;
  state: TicketState;
  /** When the home last showed that it knows of the grant. */
  confirmedAt: number;
  /** When the slot is freed although nobody released it; set once the home is gone. */
  freeAt: number | undefined;
  /** Whether it takes any slot, timely or not: lower tiers run, so it may not be refused. */
  isPressed: boolean;
  /** Whether it ever stood still, so that its times say nothing of the endpoint's speed. */
  wasSuspended: boolean;
}

/**
 * Gives the placement of a ticket that has one.
 *
 * @param ticket - the ticket
 * @returns its placement, or undefined while it waits or has ended
 */
export const placementOf = ({ state }: Ticket): Placement | undefined =>
  'placement' in state ? state.placement : undefined;

/**
 * Tells whether a ticket waits for a slot.
 *
 * @param ticket - the ticket
 * @returns false once it was granted or has ended
 */
export const isWaiting = ({ state }: Ticket): boolean => state._tag === 'waiting';

/**
 * Tells whether a ticket takes up a slot.
 *
 * @param ticket - the ticket
 * @returns true while it runs or is about to be suspended
 */
export const holdsSlot = ({ state }: Ticket): boolean =>
  state._tag === 'granted' || state._tag === 'suspending';

/**
 * Expects how long a placed ticket still runs. One that is overdue is taken to need a part of the
 * time that it has run already.
 *
 * @param ticket - the ticket
 * @param now - present time in ms
 * @returns time in ms, 0 where it has no placement
 */
export const remainingOf = (ticket: Ticket, now: number): number => {
  const placement = placementOf(ticket);
  if (placement === undefined) return 0;
  const elapsedMs = now - placement.grantedAt;
  return Math.max(placement.estimateMs - elapsedMs, elapsedMs * 0.2, 1);
};

/**
 * Notes that a running ticket's home is asked to suspend it.
 *
 * @param ticket - the ticket
 * @param askedAt - present time in ms
 */
export const askToYield = (ticket: Ticket, askedAt: number): void => {
  const placement = placementOf(ticket);
  if (placement !== undefined) ticket.state = { _tag: 'suspending', placement, askedAt };
};
