import type { Reservation } from '../../protocol/peer/PeerMessage.ts';

/** Endpoint of a granted request, with the estimates made at the time of the grant. */
export interface Placement {
  readonly endpoint: string;
  readonly version: string;
  /** Time of the grant, in ms; moved forward by the time that the request was suspended. */
  readonly grantedAt: number;
  /** Expected service time. */
  readonly estimateMs: number;
  /** Prompt tokens that were expected to be cached. */
  readonly cachedTokens: number;
  /** Requests that ran at the endpoint's address when this one started, itself included. */
  readonly concurrency: number;
  /** Prompt tokens that this request had to compute. */
  readonly prefillTokens: number;
  /** Prompt tokens that other requests still had to compute when this one started. */
  readonly backlogTokens: number;
  /** Expected time from the grant to the first token. */
  readonly firstTokenMs: number;
}

/** State of a ticket. Only `granted` and `suspending` tickets hold a slot. */
export type TicketState =
  | { readonly _tag: 'waiting' }
  | { readonly _tag: 'granted'; readonly placement: Placement }
  | {
      readonly _tag: 'suspending';
      readonly placement: Placement;
      readonly suspendRequestedAt: number;
    }
  | { readonly _tag: 'suspended'; readonly placement: Placement; readonly elapsedMs: number }
  | { readonly _tag: 'ended' };

/** One reservation at its pool's scheduler. */
export interface Ticket {
  readonly reservation: Reservation;
  /** Incarnation of the entry that owns the request. */
  readonly owner: string;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /**
   * Expected service time on an idle endpoint of the pool, in ms; charged to the client account.
   */
  readonly idleServiceMs: number;
  /** Prompt tokens expected to be cached at the best endpoint on arrival. */
  readonly cachedTokens: number;
  /**
   * Sort key within a client account; the smallest is placed first. A bounded latest start time in
   * ms, or the arrival number for the baselines that order by arrival.
   */
  readonly orderKey: number;
  /** Sequence number of the arrival; breaks ties between equal sort keys. */
  readonly arrivalNumber: number;
  state: TicketState;
  /** Time at which the owner last confirmed the grant, in ms. */
  confirmedAt: number;
  /** Time at which the slot is freed without a release, in ms; set once the owner is lost. */
  slotExpiresAt: number | undefined;
  /**
   * Whether it may be placed where it finishes after its deadline. Set if its deadline has become
   * unreachable while lower tiers run, since it can't be refused then.
   */
  mayFinishLate: boolean;
  /** Whether it was suspended or adopted, so that its times don't reflect the endpoint's speed. */
  isTimingUnreliable: boolean;
}

/**
 * Gives a ticket's placement.
 *
 * @param ticket - the ticket
 * @returns the placement, or undefined if it is waiting or has ended
 */
export const placementOf = ({ state }: Ticket): Placement | undefined =>
  'placement' in state ? state.placement : undefined;

/**
 * Tells whether a ticket waits for a slot.
 *
 * @param ticket - the ticket
 * @returns true until it is granted or ends
 */
export const isWaiting = ({ state }: Ticket): boolean => state._tag === 'waiting';

/**
 * Tells whether a ticket holds a slot.
 *
 * @param ticket - the ticket
 * @returns true while it is granted or being suspended
 */
export const holdsSlot = ({ state }: Ticket): boolean =>
  state._tag === 'granted' || state._tag === 'suspending';

/**
 * Estimates the remaining run time of a placed ticket. Near and past its estimate, a ticket is
 * assumed to need at least a fifth of the time that it has run already.
 *
 * @param ticket - the ticket
 * @param now - present time in ms
 * @returns time in ms; at least 1, or 0 without a placement
 */
export const remainingTimeOf = (ticket: Ticket, now: number): number => {
  const placement = placementOf(ticket);
  if (placement === undefined) return 0;
  const elapsedMs = now - placement.grantedAt;
  return Math.max(placement.estimateMs - elapsedMs, elapsedMs * 0.2, 1);
};

/**
 * Marks a placed ticket as being suspended. Does nothing without a placement.
 *
 * @param ticket - the ticket
 * @param suspendRequestedAt - time at which the owner is asked to suspend it, in ms
 */
export const markSuspending = (ticket: Ticket, suspendRequestedAt: number): void => {
  const placement = placementOf(ticket);
  if (placement !== undefined) ticket.state = { _tag: 'suspending', placement, suspendRequestedAt };
};
