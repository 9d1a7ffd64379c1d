import type { Grant, Reservation } from '../../protocol/peer/PeerMessage.ts';
import type { EntrySettings } from '../../state/EntrySettings.ts';
import type { Action } from '../Action.ts';
import { grantsFor, subjectOf } from './answers.ts';
import { choosePlacement, type Choice } from './choosePlacement.ts';
import type { EndpointState } from './EndpointState.ts';
import type { EndpointTable } from './EndpointTable.ts';
import { placementOf, type Ticket } from './Ticket.ts';
import type { Alone, TicketBook } from './TicketBook.ts';
import type { VersionSplit } from './VersionSplit.ts';

/** Tickets tried past one that can't be placed now. */
const LOOKAHEAD = 8;
/** A candidate's endpoints count as capacity from this share on. */
const CAPACITY_SHARE = 0.3;
const NOWHERE: Alone = { workMs: Number.POSITIVE_INFINITY, cachedTokens: 0 };

/** What a placer works on. */
export interface PlacerOptions {
  readonly policy: EntrySettings['policy'];
  readonly book: TicketBook;
  readonly endpoints: EndpointTable;
  readonly split: VersionSplit;
}

interface Placed {
  readonly grant: Grant;
  readonly decision: Action;
}

/** Puts waiting and suspended tickets into free slots, tier by tier. */
export class Placer {
  readonly #policy: EntrySettings['policy'];

  readonly #book: TicketBook;

  readonly #endpoints: EndpointTable;

  readonly #split: VersionSplit;

  #turn = 0;

  /** @param options - policies, tickets, endpoints and versions */
  constructor({ policy, book, endpoints, split }: PlacerOptions) {
    this.#policy = policy;
    this.#book = book;
    this.#endpoints = endpoints;
    this.#split = split;
  }

  /** @returns the endpoints that may get new work, now or once they are fit again */
  usable(): readonly EndpointState[] {
    return this.#endpoints.usable(this.#split.eligibleVersions());
  }

  /** @returns the endpoints whose slots the waiting tickets can count on */
  capacity(now: number): readonly EndpointState[] {
    const { candidate } = this.#split;
    return this.usable().filter(({ endpoint, health }) => {
      if (health.admittance(0, now) === 'closed') return false;
      if (candidate === undefined) return true;
      const isCandidate = endpoint.version === candidate.version;
      return isCandidate ? candidate.share >= CAPACITY_SHARE : candidate.share < 1;
    });
  }

  /** @returns what a request would find at its best endpoint if nothing else ran */
  estimateWhenIdle(reservation: Reservation): Alone {
    return this.usable()
      .map((state) => ({
        workMs: state.estimateAlone(reservation),
        cachedTokens: state.workOf(reservation).cachedTokens,
      }))
      .reduce((a, b) => (b.workMs < a.workMs ? b : a), NOWHERE);
  }

  /**
   * Uses all free slots that can be used.
   *
   * @param now - present time in ms
   * @returns grants, resumptions and decisions
   */
  place(now: number): Action[] {
    const { queue, granted: running } = this.#book;
    return [...new Set([...queue.tierRanks(), ...running.suspendedRanks()])]
      .sort((a, b) => a - b)
      .flatMap((rank) => [...this.#resume(rank, now), ...this.#start(rank, now)]);
  }

  #resume(rank: number, now: number): Action[] {
    const { granted: running } = this.#book;
    return running
      .suspendedOf(rank)
      .filter((ticket) => ticket.freeAt === undefined && running.resume(ticket, now))
      .flatMap((ticket): Action[] => {
        const { id } = ticket.reservation;
        const endpoint = placementOf(ticket)?.endpoint ?? '';
        return [
          { _tag: 'send', to: ticket.owner, message: { _tag: 'resume', id } },
          { _tag: 'decide', decision: { _tag: 'resumed', ...subjectOf(ticket), endpoint } },
        ];
      });
  }

  #start(rank: number, now: number): Action[] {
    const { queue } = this.#book;
    const skipped: Ticket[] = [];
    const decisions: Action[] = [];
    const grants = new Map<string, Grant[]>();
    let ticket = this.#hasRoom(now) ? queue.take(rank) : undefined;
    while (ticket !== undefined) {
      const placed = this.#placeOne(ticket, now);
      if (placed === undefined) skipped.push(ticket);
      else {
        decisions.push(placed.decision);
        grants.set(ticket.owner, [...(grants.get(ticket.owner) ?? []), placed.grant]);
      }
      const mayGoOn = skipped.length < LOOKAHEAD && this.#hasRoom(now);
      ticket = mayGoOn ? queue.take(rank) : undefined;
    }
    skipped.forEach((other) => queue.add(other));
    return [...decisions, ...[...grants].map(([home, list]) => grantsFor(home, list))];
  }

  #hasRoom(now: number): boolean {
    return this.usable().some((state) => state.admits(now));
  }

  #placeOne(ticket: Ticket, now: number): Placed | undefined {
    const candidate = this.#split.candidate?.version;
    const candidateInFlight = candidate === undefined ? 0 : this.#book.granted.countOn(candidate);
    const rule = {
      placement: this.#policy.placement,
      sparesPrefill: this.#policy.admission === 'product' && !ticket.isPressed,
      turn: this.#turn,
    };
    const choice = this.#split
      .preference(ticket.reservation.route, candidateInFlight, now)
      .reduce<Choice | undefined>(
        (found, version) =>
          found ?? choosePlacement(ticket, this.#endpoints.usable([version]), rule, now),
        undefined,
      );
    return choice && this.#grant(ticket, choice, now);
  }

  #grant(ticket: Ticket, choice: Choice, now: number): Placed {
    const { state, estimateMs, candidates, reason } = choice;
    const { reservation } = ticket;
    const { name, version } = state.endpoint;
    const placement = state.createPlacement(reservation, now);
    this.#turn += 1;
    this.#split.recordPlacement(reservation.route, version, now);
    this.#book.stopWaiting(ticket);
    this.#book.granted.grant(ticket, placement, state, now);
    state.prefixes.add(reservation.prefixes);
    if (state.health.ejectionReason !== undefined) state.health.probed(now);
    const { id, pool } = reservation;
    return {
      grant: { id, pool, endpoint: name, version, estimateMs },
      decision: {
        _tag: 'decide',
        decision: {
          _tag: 'placed',
          ...subjectOf(ticket),
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
