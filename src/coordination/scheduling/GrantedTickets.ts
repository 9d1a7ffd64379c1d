import type { CallRecord } from '../../protocol/peer/PeerMessage.ts';
import type { EndpointState } from './EndpointState.ts';
import { holdsSlot, placementOf, type Placement, type Ticket } from './Ticket.ts';

/** Time without a confirmation from the owner after which a grant is assumed to have ended. */
const UNCONFIRMED_TIMEOUT_MS = 5_000;
/**
 * Time past the deadline, at which the owner cancels a request, until the request is assumed to have
 * ended.
 */
const DEADLINE_OVERRUN_MS = 2_000;
/** Minimum time for which a lost owner's requests keep their slots. */
const LOST_OWNER_MINIMUM_HOLD_MS = 2_000;

interface GrantedEntry {
  readonly ticket: Ticket;
  /** Undefined if the endpoint isn't in the bundle. */
  readonly endpointState: EndpointState | undefined;
}

/** Granted tickets that haven't ended, suspended ones included, and the slots that they hold. */
export class GrantedTickets {
  readonly #granted = new Map<string, GrantedEntry>();

  /**
   * Finds a granted ticket.
   *
   * @param id - the request's id
   * @returns the ticket, or undefined if there is none
   */
  find(id: string): Ticket | undefined {
    return this.#granted.get(id)?.ticket;
  }

  /** @returns number of granted tickets, suspended ones included */
  get size(): number {
    return this.#granted.size;
  }

  /** @returns all granted tickets, suspended ones included */
  all(): readonly Ticket[] {
    return [...this.#granted.values()].map(({ ticket }) => ticket);
  }

  /**
   * Counts the tickets of lower tiers that hold slots.
   *
   * @param rank - a tier's rank
   * @returns number of such tickets with a greater rank
   */
  countLowerTiers(rank: number): number {
    return this.all().filter((ticket) => ticket.reservation.tierRank > rank && holdsSlot(ticket))
      .length;
  }

  /**
   * Counts the tickets that hold slots of a version.
   *
   * @param version - the version
   * @returns number of tickets
   */
  countOnVersion(version: string): number {
    return this.all().filter(
      (ticket) => holdsSlot(ticket) && placementOf(ticket)?.version === version,
    ).length;
  }

  /**
   * Grants a ticket and takes its slot.
   *
   * @param ticket - the ticket
   * @param placement - where it runs
   * @param state - the endpoint, or undefined if it isn't in the bundle
   * @param now - present time in ms
   */
  grant(ticket: Ticket, placement: Placement, state: EndpointState | undefined, now: number): void {
    ticket.state = { _tag: 'granted', placement };
    ticket.confirmedAt = now;
    this.#granted.set(ticket.reservation.id, { ticket, endpointState: state });
    state?.tickets.set(ticket.reservation.id, ticket);
    state?.addressSlots.adjustRunning(1, now);
  }

  /**
   * Ends a granted ticket and frees its slot.
   *
   * @param id - the request's id
   * @param now - present time in ms
   * @returns the ticket, or undefined if the id isn't granted
   */
  end(id: string, now: number): Ticket | undefined {
    const entry = this.#granted.get(id);
    if (entry === undefined) return undefined;
    const { ticket, endpointState: state } = entry;
    if (holdsSlot(ticket)) state?.addressSlots.adjustRunning(-1, now);
    state?.tickets.delete(id);
    this.#granted.delete(id);
    ticket.state = { _tag: 'ended' };
    return ticket;
  }

  /**
   * Frees the slot of a ticket whose owner has suspended it.
   *
   * @param id - the request's id
   * @param now - present time in ms
   */
  suspend(id: string, now: number): void {
    const { ticket, endpointState: state } = this.#granted.get(id) ?? {};
    if (ticket === undefined || !holdsSlot(ticket)) return;
    const placement = placementOf(ticket);
    if (placement === undefined) return;
    const elapsedMs = now - placement.grantedAt;
    ticket.state = { _tag: 'suspended', placement, elapsedMs };
    ticket.isTimingUnreliable = true;
    ticket.confirmedAt = now;
    state?.addressSlots.adjustRunning(-1, now);
  }

  /**
   * Resumes a suspended ticket if its endpoint has a free slot.
   *
   * @param ticket - the ticket
   * @param now - present time in ms
   * @returns true if it was resumed
   */
  resume(ticket: Ticket, now: number): boolean {
    const entry = this.#granted.get(ticket.reservation.id);
    if (entry?.endpointState === undefined || ticket.state._tag !== 'suspended') return false;
    if (entry.endpointState.addressSlots.freeSlots(now) <= 0) return false;
    const { placement, elapsedMs } = ticket.state;
    ticket.state = { _tag: 'granted', placement: { ...placement, grantedAt: now - elapsedMs } };
    entry.endpointState.addressSlots.adjustRunning(1, now);
    return true;
  }

  /**
   * Lists a tier's suspended tickets.
   *
   * @param rank - the tier's rank
   * @returns the tickets
   */
  suspendedInTier(rank: number): readonly Ticket[] {
    return this.all().filter(
      ({ state, reservation }) => state._tag === 'suspended' && reservation.tierRank === rank,
    );
  }

  /** @returns the tier rank of each suspended ticket; ranks may repeat */
  suspendedTierRanks(): readonly number[] {
    return this.all()
      .filter(({ state }) => state._tag === 'suspended')
      .map(({ reservation }) => reservation.tierRank);
  }

  /**
   * Sets when the slots of a lost owner are freed, since it will never release them.
   *
   * @param owner - the lost incarnation
   * @param now - present time in ms
   */
  expireSlotsOfOwner(owner: string, now: number): void {
    this.all()
      .filter((ticket) => ticket.owner === owner)
      .forEach((ticket) => {
        const placement = placementOf(ticket);
        const endsAt = (placement?.grantedAt ?? now) + (placement?.estimateMs ?? 0);
        ticket.slotExpiresAt = Math.min(
          ticket.deadlineAt,
          Math.max(endsAt, now + LOST_OWNER_MINIMUM_HOLD_MS),
        );
      });
  }

  /**
   * Lists the tickets that are assumed to have ended without a release.
   *
   * @param now - present time in ms
   * @returns their request ids
   */
  expiredIds(now: number): readonly string[] {
    return this.all()
      .filter(({ confirmedAt, deadlineAt, slotExpiresAt }) => {
        if (slotExpiresAt !== undefined) return now >= slotExpiresAt;
        return now - confirmedAt > UNCONFIRMED_TIMEOUT_MS || now > deadlineAt + DEADLINE_OVERRUN_MS;
      })
      .map(({ reservation }) => reservation.id);
  }

  /**
   * Updates the endpoint's estimates and health with a call's result, before its slot is freed.
   *
   * @param id - the request's id
   * @param record - the call's result
   * @param othersFailureRatio - highest failure ratio of the pool's other endpoints, 0 to 1
   * @param now - present time in ms
   */
  recordResult(id: string, record: CallRecord, othersFailureRatio: number, now: number): void {
    const { ticket, endpointState: state } = this.#granted.get(id) ?? {};
    const placement = ticket && placementOf(ticket);
    if (ticket === undefined || state === undefined || placement === undefined) return;
    const { cachedTokens, concurrency, backlogTokens } = placement;
    const demand = { ...state.demandOf(ticket.reservation), cachedTokens, backlogTokens };
    const meanConcurrency = (concurrency + state.addressSlots.running) / 2;
    switch (record.result) {
      case 'completed':
        state.health.recordSuccess();
        if (ticket.isTimingUnreliable) break;
        state.serviceTime.observeCompleted(demand, record, meanConcurrency);
        state.prefixes.recordHit(cachedTokens, record.cachedTokens);
        break;
      case 'failed':
        if (record.connectFailure) state.health.recordConnectFailure(now);
        else state.health.recordFailure(othersFailureRatio, now);
        break;
      case 'refused':
        state.health.recordConnectFailure(now);
        break;
      case 'cancelled':
        if (!ticket.isTimingUnreliable)
          state.serviceTime.observeCancelled(demand, record.totalMs, meanConcurrency);
        break;
      default:
        record.result satisfies never;
    }
  }
}
