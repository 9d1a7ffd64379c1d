import type { Grant, Reservation } from '../../protocol/peer/PeerMessage.ts';
import type { EntrySettings } from '../../state/EntrySettings.ts';
import type { Action } from '../Action.ts';
import { createGrantedMessage, decisionSubjectOf } from './ticketMessages.ts';
import { chooseEndpoint, type EndpointChoice } from './chooseEndpoint.ts';
import type { EndpointState } from './EndpointState.ts';
import type { EndpointTable } from './EndpointTable.ts';
import { placementOf, type Ticket } from './Ticket.ts';
import type { IdleEstimate, TicketRegistry } from './TicketRegistry.ts';
import type { VersionSplit } from './VersionSplit.ts';

/** Tickets of a tier that may be skipped in one pass because they can't be placed now. */
const MAXIMUM_SKIPPED_TICKETS = 8;
/** Minimum share of a candidate version for its endpoints to count as capacity. */
const MINIMUM_CAPACITY_SHARE = 0.3;
const NO_ENDPOINT_ESTIMATE: IdleEstimate = {
  idleServiceMs: Number.POSITIVE_INFINITY,
  cachedTokens: 0,
};

/** Policies of a placer and the state that it shares with the pool's scheduler. */
export interface PlacerOptions {
  readonly policy: EntrySettings['policy'];
  readonly registry: TicketRegistry;
  readonly endpoints: EndpointTable;
  readonly split: VersionSplit;
}

interface GrantedPlacement {
  readonly grant: Grant;
  readonly decision: Action;
}

/** Places suspended and waiting tickets in free slots, tier by tier. */
export class TicketPlacer {
  readonly #policy: EntrySettings['policy'];

  readonly #registry: TicketRegistry;

  readonly #endpoints: EndpointTable;

  readonly #split: VersionSplit;

  #roundRobinIndex = 0;

  /** @param options - policies, tickets, endpoints and version split */
  constructor({ policy, registry, endpoints, split }: PlacerOptions) {
    this.#policy = policy;
    this.#registry = registry;
    this.#endpoints = endpoints;
    this.#split = split;
  }

  /** @returns the endpoints of eligible versions that aren't leaving, ejected ones included */
  eligibleEndpoints(): readonly EndpointState[] {
    return this.#endpoints.eligible(this.#split.eligibleVersions());
  }

  /**
   * Lists the endpoints whose slots count as capacity for the waiting tickets.
   *
   * @param now - present time in ms
   * @returns eligible endpoints that are healthy or due for a probe, of versions with a large
   *   enough share
   */
  capacityEndpoints(now: number): readonly EndpointState[] {
    const { candidate } = this.#split;
    return this.eligibleEndpoints().filter(({ endpoint, health }) => {
      if (health.availability(0, now) === 'closed') return false;
      if (candidate === undefined) return true;
      const isCandidate = endpoint.version === candidate.version;
      return isCandidate ? candidate.share >= MINIMUM_CAPACITY_SHARE : candidate.share < 1;
    });
  }

  /**
   * Estimates a request at its best eligible endpoint if nothing else runs.
   *
   * @param reservation - the request
   * @returns the estimate, with an infinite time if no endpoint is eligible
   */
  estimateWhenIdle(reservation: Reservation): IdleEstimate {
    return this.eligibleEndpoints()
      .map((state) => ({
        idleServiceMs: state.estimateWhenIdle(reservation),
        cachedTokens: state.demandOf(reservation).cachedTokens,
      }))
      .reduce((a, b) => (b.idleServiceMs < a.idleServiceMs ? b : a), NO_ENDPOINT_ESTIMATE);
  }

  /**
   * Places as many tickets as the free slots allow; in each tier, suspended tickets come first.
   *
   * @param now - present time in ms
   * @returns grants, resumptions and decisions
   */
  place(now: number): Action[] {
    const { queue, granted } = this.#registry;
    return [...new Set([...queue.tierRanks(), ...granted.suspendedTierRanks()])]
      .sort((a, b) => a - b)
      .flatMap((rank) => [...this.#resumeSuspended(rank, now), ...this.#startWaiting(rank, now)]);
  }

  #resumeSuspended(rank: number, now: number): Action[] {
    const { granted } = this.#registry;
    return granted
      .suspendedInTier(rank)
      .filter((ticket) => ticket.slotExpiresAt === undefined && granted.resume(ticket, now))
      .flatMap((ticket): Action[] => {
        const { id } = ticket.reservation;
        const endpoint = placementOf(ticket)?.endpoint ?? '';
        return [
          { _tag: 'send', to: ticket.owner, message: { _tag: 'resume', id } },
          { _tag: 'decide', decision: { _tag: 'resumed', ...decisionSubjectOf(ticket), endpoint } },
        ];
      });
  }

  #startWaiting(rank: number, now: number): Action[] {
    const { queue } = this.#registry;
    const skipped: Ticket[] = [];
    const decisions: Action[] = [];
    const grants = new Map<string, Grant[]>();
    let ticket = this.#hasFreeSlot(now) ? queue.takeNext(rank) : undefined;
    while (ticket !== undefined) {
      const placed = this.#placeTicket(ticket, now);
      if (placed === undefined) skipped.push(ticket);
      else {
        decisions.push(placed.decision);
        grants.set(ticket.owner, [...(grants.get(ticket.owner) ?? []), placed.grant]);
      }
      const canContinue = skipped.length < MAXIMUM_SKIPPED_TICKETS && this.#hasFreeSlot(now);
      ticket = canContinue ? queue.takeNext(rank) : undefined;
    }
    skipped.forEach((other) => queue.add(other));
    return [...decisions, ...[...grants].map(([owner, list]) => createGrantedMessage(owner, list))];
  }

  #hasFreeSlot(now: number): boolean {
    return this.eligibleEndpoints().some((state) => state.canStart(now));
  }

  #placeTicket(ticket: Ticket, now: number): GrantedPlacement | undefined {
    const candidate = this.#split.candidate?.version;
    const candidateInFlight =
      candidate === undefined ? 0 : this.#registry.granted.countOnVersion(candidate);
    const rules = {
      placement: this.#policy.placement,
      requiresTimelyFinish: this.#policy.admission === 'product' && !ticket.mayFinishLate,
      roundRobinIndex: this.#roundRobinIndex,
    };
    const choice = this.#split
      .preferredVersions(ticket.reservation.route, candidateInFlight, now)
      .reduce<EndpointChoice | undefined>(
        (found, version) =>
          found ?? chooseEndpoint(ticket, this.#endpoints.eligible([version]), rules, now),
        undefined,
      );
    return choice && this.#grant(ticket, choice, now);
  }

  #grant(ticket: Ticket, choice: EndpointChoice, now: number): GrantedPlacement {
    const { state, estimateMs, candidates, reason } = choice;
    const { reservation } = ticket;
    const { name, version } = state.endpoint;
    const placement = state.createPlacement(reservation, now);
    this.#roundRobinIndex += 1;
    this.#split.recordPlacement(reservation.route, version, now);
    this.#registry.recordGrant(ticket);
    this.#registry.granted.grant(ticket, placement, state, now);
    state.prefixes.recordCached(reservation.prefixes);
    if (state.health.ejectionReason !== undefined) state.health.recordProbe(now);
    const { id, pool } = reservation;
    return {
      grant: { id, pool, endpoint: name, version, estimateMs },
      decision: {
        _tag: 'decide',
        decision: {
          _tag: 'placed',
          ...decisionSubjectOf(ticket),
          candidates,
          choice: name,
          version,
          estimateMs: Math.round(estimateMs),
          waitedMs: now - ticket.arrivedAt,
          reason,
        },
      },
    };
  }
}
