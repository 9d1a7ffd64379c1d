import type { CacheEvent, LoadReport } from '../../protocol/engine/engineReports.ts';
import type { PeerMessage, Reservation } from '../../protocol/peer/PeerMessage.ts';
import type { Bundle } from '../../state/Bundle.ts';
import type { PoolRouting } from '../../state/PoolRouting.ts';
import type { EntrySettings, EntryTiming } from '../../state/EntrySettings.ts';
import type { Action } from '../Action.ts';
import { AdmissionControl } from './AdmissionControl.ts';
import { createGrant, createGrantedMessage, createRefusedMessage } from './ticketMessages.ts';
import { EndpointTable } from './EndpointTable.ts';
import { TicketPlacer } from './TicketPlacer.ts';
import { suggestsVersionFault } from './suggestsVersionFault.ts';
import { holdsSlot, placementOf, type Placement, type Ticket } from './Ticket.ts';
import { TicketRegistry, type RequestFinding } from './TicketRegistry.ts';
import { VersionSplit } from './VersionSplit.ts';

const SWEEP_INTERVAL_MS = 50;
/** Maximum average sweep rate: long queues are swept less often, to bound the cost. */
const TICKETS_SWEPT_PER_MS = 40;
const LOST_OWNER_RETRY_MS = 1_000;

type InFlight = Extract<PeerMessage, { _tag: 'inFlight' }>;
type Release = Extract<PeerMessage, { _tag: 'release' }>;

/** Options of a pool's scheduler. */
export interface PoolSchedulerOptions {
  readonly pool: string;
  readonly policy: EntrySettings['policy'];
  readonly timing: EntryTiming;
}

/** Endpoints and versions that a scheduler may use. */
export interface SchedulerConfiguration {
  readonly bundle: Bundle;
  readonly routing: PoolRouting;
  /** Addresses of endpoints that are leaving and receive no new work. */
  readonly leaving: ReadonlySet<string>;
}

/** Current figures of a scheduler. */
export interface SchedulerSnapshot {
  readonly pool: string;
  readonly waiting: number;
  readonly running: number;
  readonly suspended: number;
  readonly endedTickets: number;
  readonly endpoints: readonly {
    readonly name: string;
    readonly running: number;
    readonly slots: number;
    readonly slowdown: number;
    readonly ejectionReason: string | undefined;
  }[];
}

/**
 * Schedules one pool: orders the reservations of all owners and grants slots. It replies with
 * `send` actions to the owners, and only an owner dispatches its requests.
 */
export class PoolScheduler {
  readonly #pool: string;

  readonly #policy: EntrySettings['policy'];

  readonly #registry: TicketRegistry;

  readonly #endpoints = new EndpointTable();

  readonly #split = new VersionSplit();

  readonly #placer: TicketPlacer;

  readonly #admission: AdmissionControl;

  #now = 0;

  #sweepAt = 0;

  /** @param options - the pool's name, the policies and the timing */
  constructor({ pool, policy }: PoolSchedulerOptions) {
    this.#pool = pool;
    this.#policy = policy;
    const registry = new TicketRegistry(policy.order);
    this.#registry = registry;
    this.#placer = new TicketPlacer({
      policy,
      registry,
      endpoints: this.#endpoints,
      split: this.#split,
    });
    this.#admission = new AdmissionControl(registry, this.#placer, policy.admission === 'product');
  }

  /**
   * Applies the bundle, the routing and the leaving endpoints to all tickets that aren't granted
   * yet.
   *
   * @param input - bundle, routing and leaving endpoints
   * @param now - present time in ms
   * @returns grants that have become possible
   */
  configure({ bundle, routing, leaving }: SchedulerConfiguration, now: number): Action[] {
    this.#endpoints.configure(this.#pool, bundle, leaving);
    this.#split.configure(routing);
    return this.#place(now);
  }

  /**
   * Accepts reservations. A repeated reservation changes nothing and gets the same answer if it has
   * one.
   *
   * @param from - the owner's incarnation
   * @param reservations - the requests to schedule
   * @param now - present time in ms
   * @returns grants and refusals
   */
  reserve(from: string, reservations: readonly Reservation[], now: number): Action[] {
    const answers = reservations.flatMap((reservation) => this.#reserveOne(from, reservation, now));
    return [...answers, ...this.#place(now)];
  }

  /**
   * Withdraws reservations that are waiting or were granted but not used.
   *
   * @param from - the owner's incarnation
   * @param ids - the requests' ids
   * @param now - present time in ms
   * @returns grants that have become possible
   */
  withdraw(from: string, ids: readonly string[], now: number): Action[] {
    ids.forEach((id) => {
      const waiting = this.#registry.findWaiting(id);
      if (waiting?.owner === from) this.#registry.endWaiting(waiting, { _tag: 'withdrawn' }, now);
      if (this.#registry.granted.find(id)?.owner === from) {
        this.#registry.endGranted(id, { _tag: 'givenBack' }, now);
      }
    });
    return this.#place(now);
  }

  /**
   * Frees a slot and updates the estimates with the call's result.
   *
   * @param from - the owner's incarnation
   * @param message - the call that ended and its result
   * @param now - present time in ms
   * @returns grants that have become possible
   */
  release(from: string, { id, endpoint, record }: Release, now: number): Action[] {
    const { granted } = this.#registry;
    const ticket = granted.find(id);
    if (ticket?.owner !== from || placementOf(ticket)?.endpoint !== endpoint) return [];
    const wasNotDispatched = record.result === 'cancelled' && record.totalMs === 0;
    if (!wasNotDispatched)
      granted.recordResult(id, record, this.#maximumFailureRatioOfOthers(endpoint), now);
    if (suggestsVersionFault(ticket, record))
      this.#split.recordFault(placementOf(ticket)?.version ?? '', now);
    const isUnused = wasNotDispatched || record.result === 'refused';
    this.#registry.endGranted(id, { _tag: isUnused ? 'givenBack' : 'released' }, now);
    return this.#place(now);
  }

  /**
   * Frees the slot of a request that its owner has suspended.
   *
   * @param from - the owner's incarnation
   * @param id - the request's id
   * @param now - present time in ms
   * @returns grants that have become possible
   */
  confirmSuspension(from: string, id: string, now: number): Action[] {
    if (this.#registry.granted.find(id)?.owner !== from) return [];
    this.#registry.granted.suspend(id, now);
    return this.#place(now);
  }

  /**
   * Adopts an owner's requests that another scheduler granted, and confirms known grants.
   *
   * @param from - the owner's incarnation
   * @param message - the grants that the owner uses
   * @param now - present time in ms
   * @returns grants and resumptions that have become possible
   */
  adoptGrants(from: string, message: InFlight, now: number): Action[] {
    const { granted, history } = this.#registry;
    message.grants.forEach((inFlight) => {
      const { id } = inFlight.grant;
      const known = granted.find(id);
      if (known !== undefined) known.confirmedAt = now;
      else if (history.find(id)?._tag !== 'released') this.#adoptGrant(from, inFlight, now);
    });
    return this.#place(now);
  }

  /**
   * Applies an engine's load report.
   *
   * @param endpoint - the endpoint's name or address
   * @param report - the report
   * @param now - present time in ms
   */
  applyLoadReport(endpoint: string, report: LoadReport, now: number): void {
    new Set(
      this.#endpoints.findByNameOrAddress(endpoint).map(({ addressSlots }) => addressSlots),
    ).forEach((host) => host.applyLoadReport(report, now));
  }

  /**
   * Applies an engine's cache events.
   *
   * @param endpoint - the endpoint's name or address
   * @param events - the events, oldest first
   */
  applyCacheEvents(endpoint: string, events: readonly CacheEvent[]): void {
    this.#endpoints
      .findByNameOrAddress(endpoint)
      .forEach(({ prefixes }) => prefixes.applyCacheEvents(events));
  }

  /**
   * Ends the waiting tickets of a lost owner and limits how long its granted ones keep their slots.
   * The ended tickets are remembered, so that other entries can ask about them.
   *
   * @param incarnation - the lost owner
   * @param now - present time in ms
   * @returns grants that have become possible
   */
  handleOwnerLoss(incarnation: string, now: number): Action[] {
    this.#registry.handleOwnerLoss(incarnation, now);
    return this.#place(now);
  }

  /**
   * Tells what is known about an id whose owner may be lost.
   *
   * @param id - the request's id
   * @param ownerHeardRecently - whether the owner may still be alive
   * @returns the finding; `granted` also if its record may have been evicted early
   */
  findingOf(id: string, ownerHeardRecently: boolean): RequestFinding {
    return this.#registry.findingOf(id, ownerHeardRecently);
  }

  /**
   * Voids an id, so that it is never granted here.
   *
   * @param id - the request's id
   */
  voidId(id: string): void {
    this.#registry.voidId(id, this.#now);
  }

  /**
   * Runs the periodic work: admission control, expiry of grants, slowdown checks and placement.
   *
   * @param now - present time in ms
   * @returns grants, refusals and suspensions
   */
  tick(now: number): Action[] {
    if (now < this.#sweepAt) return this.#place(now);
    const { size } = this.#registry.queue;
    this.#sweepAt = now + Math.max(SWEEP_INTERVAL_MS, size / TICKETS_SWEPT_PER_MS);
    this.#registry.expire(now);
    this.#updateSlowdowns(now);
    return [...this.#admission.sweep(now), ...this.#place(now)];
  }

  /** @returns whether any ticket is waiting or granted */
  isBusy(): boolean {
    return this.#registry.queue.size > 0 || this.#registry.granted.size > 0;
  }

  /** @returns current figures of the scheduler */
  snapshot(): SchedulerSnapshot {
    const { queue, granted, history } = this.#registry;
    const tickets = granted.all();
    const running = tickets.filter(holdsSlot).length;
    return {
      pool: this.#pool,
      waiting: queue.size,
      running,
      suspended: tickets.length - running,
      endedTickets: history.size,
      endpoints: this.#endpoints.all().map((state) => ({
        name: state.endpoint.name,
        running: state.countRunning(),
        slots: state.addressSlots.slots,
        slowdown: state.slowdown(this.#now),
        ejectionReason: state.health.ejectionReason,
      })),
    };
  }

  #reserveOne(from: string, reservation: Reservation, now: number): Action[] {
    const { id } = reservation;
    const granted = this.#registry.granted.find(id);
    if (granted !== undefined && !this.#isEndpointIneligible(granted))
      return repeatGrant(from, granted, now);
    if (granted?.owner === from) this.#registry.endGranted(id, { _tag: 'givenBack' }, now);
    if (this.#registry.findWaiting(id) !== undefined) return [];
    const pastEnd = this.#registry.history.find(id);
    if (pastEnd?._tag === 'released') return [];
    if (pastEnd?._tag === 'refused')
      return [createRefusedMessage(from, id, pastEnd.reason, pastEnd.retryAfterMs)];
    if (this.#registry.isGrantForbidden(id, from)) {
      return [createRefusedMessage(from, id, 'entry_lost', LOST_OWNER_RETRY_MS)];
    }
    const idleEstimate = this.#placer.estimateWhenIdle(reservation);
    const ticket = this.#registry.create(from, reservation, idleEstimate, now);
    const refusal = this.#admission.checkArrival(ticket, now);
    if (refusal !== undefined) return this.#registry.refuse(ticket, refusal, now);
    this.#registry.enqueue(ticket);
    return [];
  }

  /**
   * Tells whether a granted ticket's endpoint receives no new work, so that its grant must not be
   * repeated.
   */
  #isEndpointIneligible(ticket: Ticket): boolean {
    const name = placementOf(ticket)?.endpoint;
    const isEligible = this.#placer
      .eligibleEndpoints()
      .some(({ endpoint }) => endpoint.name === name);
    return ticket.state._tag === 'granted' && !isEligible;
  }

  #adoptGrant(
    from: string,
    { grant, reservation, suspended }: InFlight['grants'][number],
    now: number,
  ): void {
    const { id, endpoint, version, estimateMs } = grant;
    const waiting = this.#registry.findWaiting(id);
    if (waiting !== undefined) this.#registry.endWaiting(waiting, { _tag: 'givenBack' }, now);
    const state = this.#endpoints.find(endpoint);
    const ticket = this.#registry.create(
      from,
      reservation,
      { idleServiceMs: 0, cachedTokens: 0 },
      now,
    );
    // The start time of an adopted request is unknown, so its times would distort the estimates.
    ticket.isTimingUnreliable = true;
    const placement: Placement = {
      endpoint,
      version,
      grantedAt: now,
      estimateMs,
      cachedTokens: 0,
      concurrency: (state?.addressSlots.running ?? 0) + 1,
      prefillTokens: 0,
      backlogTokens: 0,
      firstTokenMs: 1,
    };
    this.#registry.granted.grant(ticket, placement, state, now);
    if (suspended === true) this.#registry.granted.suspend(id, now);
    if (this.#registry.isGrantForbidden(id, from))
      this.#registry.granted.scheduleSlotExpiry(from, now);
  }

  #maximumFailureRatioOfOthers(endpoint: string): number {
    const others = this.#placer
      .eligibleEndpoints()
      .filter((state) => state.endpoint.name !== endpoint);
    return Math.max(0, ...others.map(({ health }) => health.failureRatio));
  }

  #place(now: number): Action[] {
    this.#now = now;
    return this.#placer.place(now);
  }

  #updateSlowdowns(now: number): void {
    if (this.#policy.placement !== 'product') return;
    const states = this.#placer.eligibleEndpoints();
    const slowdowns = states.map((state) => state.slowdown(now)).sort((a, b) => a - b);
    const medianSlowdown = slowdowns[Math.floor((slowdowns.length - 1) / 2)] ?? 1;
    states.forEach((state) =>
      state.health.updateSlowdown(state.slowdown(now), medianSlowdown, now),
    );
  }
}

/** Sends the grant of a repeated reservation again, which also confirms it. */
function repeatGrant(from: string, ticket: Ticket, now: number): Action[] {
  const grant = createGrant(ticket);
  if (grant === undefined || ticket.owner !== from || ticket.state._tag !== 'granted') return [];
  ticket.confirmedAt = now;
  return [createGrantedMessage(from, [grant])];
}
