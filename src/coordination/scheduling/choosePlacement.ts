import type { Candidate } from '../../state/Decision.ts';
import type { EndpointState } from './EndpointState.ts';
import type { Ticket } from './Ticket.ts';

/** A ticket isn't started where it would need more than this many times its remaining time. */
const START_MARGIN = 0.9;

/** What placement goes by. */
export interface PlacementRule {
  readonly placement: 'product' | 'round_robin';
  /** Whether a ticket that can't end in time is left unplaced. */
  readonly sparesPrefill: boolean;
  /** Where the last placement went, for the round-robin baseline. */
  readonly roundRobinIndex: number;
}

/** Where a ticket goes, and what was weighed for it. */
export interface Choice {
  readonly state: EndpointState;
  readonly estimateMs: number;
  readonly candidates: readonly Candidate[];
  readonly reason: string;
}

const reasonFor = (state: EndpointState, estimateMs: number, ticket: Ticket): string => {
  if (state.health.ejectionReason !== undefined)
    return `probe of endpoint set aside: ${state.health.ejectionReason}`;
  const { cachedTokens } = state.workOf(ticket.reservation);
  const cached = cachedTokens >= 1 ? `, ${Math.round(cachedTokens)} prompt tokens cached` : '';
  return `least expected time ${Math.round(estimateMs)} ms${cached}`;
};

/** Whether a ticket may serve as the probe of an endpoint that was set aside. */
const mayProbe = (state: EndpointState, { reservation }: Ticket): boolean =>
  state.health.ejectionReason === undefined || reservation.idempotent;

/**
 * Chooses the endpoint for a ticket among those that can start it at once.
 *
 * @param ticket - the ticket to place
 * @param states - endpoints of one version
 * @param rule - what placement goes by
 * @param now - present time in ms
 * @returns the choice, or undefined where the ticket has to wait
 */
export const choosePlacement = (
  ticket: Ticket,
  states: readonly EndpointState[],
  rule: PlacementRule,
  now: number,
): Choice | undefined => {
  const { reservation, deadlineAt } = ticket;
  const open = states.filter(
    (state) =>
      state.admits(now) &&
      !reservation.avoid.includes(state.endpoint.name) &&
      mayProbe(state, ticket),
  );
  const weighed = open.map((state) => ({ state, estimateMs: state.estimate(reservation, now) }));
  const remainingMs = deadlineAt - now;
  const timely = rule.sparesPrefill
    ? weighed.filter(({ estimateMs }) => estimateMs <= remainingMs * START_MARGIN)
    : weighed;
  if (timely.length === 0) return undefined;
  const candidates = weighed.map(({ state, estimateMs }) => ({
    endpoint: state.endpoint.name,
    estimateMs: Math.round(estimateMs),
  }));
  if (rule.placement === 'round_robin') {
    const chosen = timely[rule.roundRobinIndex % timely.length];
    return chosen && { ...chosen, candidates, reason: 'round robin' };
  }
  // A probe that is due goes ahead of the comparison, or a slow endpoint would never be tried again.
  const probe = timely.find(({ state }) => state.health.ejectionReason !== undefined);
  const best = timely.reduce((a, b) => (b.estimateMs < a.estimateMs ? b : a));
  const chosen = probe ?? best;
  return { ...chosen, candidates, reason: reasonFor(chosen.state, chosen.estimateMs, ticket) };
};
