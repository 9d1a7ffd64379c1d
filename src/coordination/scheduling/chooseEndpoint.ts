import type { EndpointCandidate } from '../../state/Decision.ts';
import type { EndpointState } from './EndpointState.ts';
import type { Ticket } from './Ticket.ts';

/** Share of a ticket's remaining time that its estimate may take up at an endpoint. */
const MAXIMUM_DEADLINE_SHARE = 0.9;

/** Rules for the choice of an endpoint. */
export interface PlacementRules {
  /** `product` chooses the least expected time; `round_robin` is the baseline for comparisons. */
  readonly placement: 'product' | 'round_robin';
  /**
   * Whether endpoints where the ticket would probably miss its deadline are excluded, which saves
   * the work of its prefill.
   */
  readonly requiresTimelyFinish: boolean;
  /** Number of placements so far, for the round-robin baseline. */
  readonly roundRobinIndex: number;
}

/** The endpoint chosen for a ticket, with the endpoints compared and the reason, for the log. */
export interface EndpointChoice {
  readonly state: EndpointState;
  readonly estimateMs: number;
  readonly candidates: readonly EndpointCandidate[];
  readonly reason: string;
}

const describeChoice = (state: EndpointState, estimateMs: number, ticket: Ticket): string => {
  if (state.health.ejectionReason !== undefined)
    return `probe of ejected endpoint: ${state.health.ejectionReason}`;
  const { cachedTokens } = state.demandOf(ticket.reservation);
  const cached = cachedTokens >= 1 ? `, ${Math.round(cachedTokens)} prompt tokens cached` : '';
  return `least expected time ${Math.round(estimateMs)} ms${cached}`;
};

/** Only idempotent requests may probe an ejected endpoint. */
const mayProbe = (state: EndpointState, { reservation }: Ticket): boolean =>
  state.health.ejectionReason === undefined || reservation.idempotent;

/**
 * Chooses the endpoint for a ticket among those that can start it now: one due for a probe, or else
 * the one with the least expected time.
 *
 * @param ticket - the ticket to place
 * @param states - eligible endpoints of one version
 * @param rules - rules for the choice
 * @param now - present time in ms
 * @returns the choice, or undefined if the ticket has to wait
 */
export const chooseEndpoint = (
  ticket: Ticket,
  states: readonly EndpointState[],
  rules: PlacementRules,
  now: number,
): EndpointChoice | undefined => {
  const { reservation, deadlineAt } = ticket;
  const available = states.filter(
    (state) =>
      state.canStart(now) &&
      !reservation.avoid.includes(state.endpoint.name) &&
      mayProbe(state, ticket),
  );
  const estimated = available.map((state) => ({
    state,
    estimateMs: state.estimateNow(reservation, now),
  }));
  const remainingMs = deadlineAt - now;
  const timely = rules.requiresTimelyFinish
    ? estimated.filter(({ estimateMs }) => estimateMs <= remainingMs * MAXIMUM_DEADLINE_SHARE)
    : estimated;
  if (timely.length === 0) return undefined;
  const candidates = estimated.map(({ state, estimateMs }) => ({
    endpoint: state.endpoint.name,
    estimateMs: Math.round(estimateMs),
  }));
  if (rules.placement === 'round_robin') {
    const chosen = timely[rules.roundRobinIndex % timely.length];
    return chosen && { ...chosen, candidates, reason: 'round robin' };
  }
  // A due probe takes precedence, or a slow endpoint would never be tried again.
  const probe = timely.find(({ state }) => state.health.ejectionReason !== undefined);
  const best = timely.reduce((a, b) => (b.estimateMs < a.estimateMs ? b : a));
  const chosen = probe ?? best;
  return { ...chosen, candidates, reason: describeChoice(chosen.state, chosen.estimateMs, ticket) };
};
