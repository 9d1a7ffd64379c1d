import type { CallRecord } from '../../protocol/peer/PeerMessage.ts';
import type { EndpointState } from './EndpointState.ts';
import { holdsSlot, placementOf, type Placement, type Ticket } from './Ticket.ts';

/** A grant that its home no longer reports is taken to be over after this long. */
const UNCONFIRMED_MS = 5_000;
/** What runs past its deadline is cancelled by its home; after this long it is taken to be over. */
const OVERRUN_MS = 2_000;
/** Least time for which the work of a lost home keeps its slot. */
const LOST_HOME_MS = 2_000;

interface Running {
  readonly ticket: Ticket;
  /** Undefined where the bundle doesn't know the endpoint. */
  readonly state: EndpointState | undefined;
}

/** The tickets that were granted and aren't over, with the slots that they take up. */
export class RunningTickets {
  readonly #running = new Map<string, Running>();

  /** @returns the granted ticket of an id */
  find(id: string): Ticket | undefined {
    return this.#running.get(id)?.ticket;
  }

  /** @returns number of granted tickets, suspended ones included */
  get size(): number {
    return this.#running.size;
  }

  /** @returns all granted tickets, suspended ones included */
  all(): readonly Ticket[] {
    return [...this.#running.values()].map(({ ticket }) => ticket);
  }

  /** @returns number of tickets of lower tiers that take up slots */
  countBelow(rank: number): number {
    return this.all().filter((ticket) => ticket.reservation.tierRank > rank && holdsSlot(ticket))
      .length;
  }

  /** @returns number of tickets that take up slots on a version */
  countOn(version: string): number {
    return this.all().filter(
      (ticket) => holdsSlot(ticket) && placementOf(ticket)?.version === version,
    ).length;
  }

  /** Puts a ticket into a slot. */
  grant(ticket: Ticket, placement: Placement, state: EndpointState | undefined, now: number): void {
    ticket.state = { _tag: 'granted', placement };
    ticket.confirmedAt = now;
    this.#running.set(ticket.reservation.id, { ticket, state });
    state?.tickets.set(ticket.reservation.id, ticket);
    state?.host.adjustRunning(1, now);
  }

  /** Takes a ticket out for good and frees its slot. */
  end(id: string, now: number): Ticket | undefined {
    const running = this.#running.get(id);
    if (running === undefined) return undefined;
    const { ticket, state } = running;
    if (holdsSlot(ticket)) state?.host.adjustRunning(-1, now);
    state?.tickets.delete(id);
    this.#running.delete(id);
    ticket.state = { _tag: 'ended' };
    return ticket;
  }

  /** Frees the slot of a ticket whose home has suspended it. */
  suspend(id: string, now: number): void {
    const { ticket, state } = this.#running.get(id) ?? {};
    if (ticket === undefined || !holdsSlot(ticket)) return;
    const placement = placementOf(ticket);
    if (placement === undefined) return;
    const elapsedMs = now - placement.grantedAt;
    ticket.state = { _tag: 'suspended', placement, elapsedMs };
    ticket.wasSuspended = true;
    ticket.confirmedAt = now;
    state?.host.adjustRunning(-1, now);
  }

  /** Gives a suspended ticket its slot back where one is free at its endpoint. */
  resume(ticket: Ticket, now: number): boolean {
    const running = this.#running.get(ticket.reservation.id);
    if (running?.state === undefined || ticket.state._tag !== 'suspended') return false;
    if (running.state.host.free(now) <= 0) return false;
    const { placement, elapsedMs } = ticket.state;
    ticket.state = { _tag: 'granted', placement: { ...placement, grantedAt: now - elapsedMs } };
    running.state.host.adjustRunning(1, now);
    return true;
  }

  /** @returns the suspended tickets of a tier */
  suspendedOf(rank: number): readonly Ticket[] {
    return this.all().filter(
      ({ state, reservation }) => state._tag === 'suspended' && reservation.tierRank === rank,
    );
  }

  /** @returns the tiers that have suspended tickets */
  suspendedRanks(): readonly number[] {
    return this.all()
      .filter(({ state }) => state._tag === 'suspended')
      .map(({ reservation }) => reservation.tierRank);
  }

  /** Sets when the slots of a lost home are freed: nobody will release them. */
  expireSlotsOfOwner(home: string, now: number): void {
    this.all()
      .filter((ticket) => ticket.owner === home)
      .forEach((ticket) => {
        const placement = placementOf(ticket);
        const endsAt = (placement?.grantedAt ?? now) + (placement?.estimateMs ?? 0);
        ticket.freeAt = Math.min(ticket.deadlineAt, Math.max(endsAt, now + LOST_HOME_MS));
      });
  }

  /** @returns ids of tickets that are over although nobody released them */
  overdue(now: number): readonly string[] {
    return this.all()
      .filter(({ confirmedAt, deadlineAt, freeAt }) => {
        if (freeAt !== undefined) return now >= freeAt;
        return now - confirmedAt > UNCONFIRMED_MS || now > deadlineAt + OVERRUN_MS;
      })
      .map(({ reservation }) => reservation.id);
  }

  /** Learns from a call that is over, before its slot is freed. */
  learn(id: string, record: CallRecord, othersFailing: number, now: number): void {
    const { ticket, state } = this.#running.get(id) ?? {};
    const placement = ticket && placementOf(ticket);
    if (ticket === undefined || state === undefined || placement === undefined) return;
    const { cachedTokens, concurrency, backlogTokens } = placement;
    const work = { ...state.workOf(ticket.reservation), cachedTokens, backlogTokens };
    const meanConcurrency = (concurrency + state.host.running) / 2;
    switch (record.result) {
      case 'completed':
        state.health.recordSuccess();
        if (ticket.wasSuspended) break;
        state.rate.learn(work, record, meanConcurrency);
        state.prefixes.learn(cachedTokens, record.cachedTokens);
        break;
      case 'failed':
        if (record.connectFailure) state.health.connectFailed(now);
        else state.health.recordFailure(othersFailing, now);
        break;
      case 'refused':
        state.health.connectFailed(now);
        break;
      case 'cancelled':
        if (!ticket.wasSuspended) state.rate.learnAtLeast(work, record.totalMs, meanConcurrency);
        break;
      default:
        record.result satisfies never;
    }
  }
}
