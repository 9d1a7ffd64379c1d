import type { CacheEvent, LoadReport } from '../../protocol/engine/LoadReport.ts';
import type { PeerMessage, Reservation } from '../../protocol/peer/PeerMessage.ts';
import type { Bundle } from '../../state/Bundle.ts';
import type { PoolRouting } from '../../state/PoolRouting.ts';
import type { EntrySettings, Timing } from '../../state/EntrySettings.ts';
import type { Action } from '../Action.ts';
import { AdmissionControl } from './Admission.ts';
import { grantOf, grantsFor, refusalFor } from './answers.ts';
import { EndpointTable } from './EndpointTable.ts';
import { Placer } from './Placer.ts';
import { isDoubtful } from './isDoubtful.ts';
import { holdsSlot, placementOf, type Placement, type Ticket } from './Ticket.ts';
import { TicketBook, type RequestFinding } from './TicketBook.ts';
import { VersionSplit } from './VersionSplit.ts';

const SWEEP_INTERVAL_MS = 50;
/** A long queue is swept less often, so that the cost stays even. */
const TICKETS_PER_SWEEP_MS = 40;
const ENTRY_LOST_RETRY_MS = 1_000;

type InFlight = Extract<PeerMessage, { _tag: 'inFlight' }>;
type Release = Extract<PeerMessage, { _tag: 'release' }>;

/** What a pool's scheduler is made from. */
export interface PoolSchedulerOptions {
  readonly pool: string;
  readonly policy: EntrySettings['policy'];
  readonly timing: Timing;
}

/** What may be scheduled where. */
export interface SchedulerInput {
  readonly bundle: Bundle;
  readonly routing: PoolRouting;
  /** Addresses of endpoints that leave. */
  readonly leaving: ReadonlySet<string>;
}

/** Figures of a scheduler for metrics and logs. */
export interface SchedulerSnapshot {
  readonly pool: string;
  readonly waiting: number;
  readonly running: number;
  readonly suspended: number;
  readonly remembered: number;
  readonly endpoints: readonly {
    readonly name: string;
    readonly running: number;
    readonly slots: number;
    readonly slowdown: number;
    readonly aside: string | undefined;
  }[];
}

/**
 * Schedules one pool: holds the reservations of all homes in one order and grants slots. It answers
 * by `send` actions to the homes; only a home dispatches.
 */
export class PoolScheduler {
  readonly #pool: string;

  readonly #policy: EntrySettings['policy'];

  readonly #book: TicketBook;

  readonly #endpoints = new EndpointTable();

  readonly #split = new VersionSplit();

  readonly #placer: Placer;

  readonly #admission: AdmissionControl;

  #now = 0;

  #sweepAt = 0;

  /** @param options - the pool, the policies and the timing */
  constructor({ pool, policy }: PoolSchedulerOptions) {
    this.#pool = pool;
    this.#policy = policy;
    const book = new TicketBook(policy.order);
    this.#book = book;
    this.#placer = new Placer({ policy, book, endpoints: this.#endpoints, split: this.#split });
    this.#admission = new AdmissionControl(book, this.#placer, policy.admission === 'product');
  }

  /**
   * Takes over what may be scheduled where. It counts for everything that isn't granted yet.
   *
   * @param input - bundle, routing and leaving endpoints
   * @param now - present time in ms
   * @returns grants that have become possible
   */
  configure({ bundle, routing, leaving }: SchedulerInput, now: number): Action[] {
    this.#endpoints.configure(this.#pool, bundle, leaving);
    this.#split.configure(routing);
    return this.#place(now);
  }

  /**
   * Takes reservations. A repeat of one that is known changes nothing and is answered again.
   *
   * @param from - the home's incarnation
   * @param reservations - what it asks for
   * @param now - present time in ms
   * @returns grants and refusals
   */
  reserve(from: string, reservations: readonly Reservation[], now: number): Action[] {
    const answers = reservations.flatMap((reservation) => this.#take(from, reservation, now));
    return [...answers, ...this.#place(now)];
  }

  /**
   * Takes reservations back, waiting or granted but unused.
   *
   * @param from - the home's incarnation
   * @param ids - the requests
   * @param now - present time in ms
   * @returns grants that have become possible
   */
  withdraw(from: string, ids: readonly string[], now: number): Action[] {
    ids.forEach((id) => {
      const waiting = this.#book.findWaiting(id);
      if (waiting?.owner === from) this.#book.leaveQueue(waiting, { _tag: 'withdrawn' }, now);
      if (this.#book.granted.find(id)?.owner === from) {
        this.#book.endRunning(id, { _tag: 'givenBack' }, now);
      }
    });
    return this.#place(now);
  }

  /**
   * Frees a slot and learns from what its call showed.
   *
   * @param from - the home's incarnation
   * @param message - which call ended, and how
   * @param now - present time in ms
   * @returns grants that have become possible
   */
  release(from: string, { id, endpoint, record }: Release, now: number): Action[] {
    const { granted: running } = this.#book;
    const ticket = running.find(id);
    if (ticket?.owner !== from || placementOf(ticket)?.endpoint !== endpoint) return [];
    const isReturned = record.result === 'cancelled' && record.totalMs === 0;
    if (!isReturned) running.learn(id, record, this.#failureRatioBeside(endpoint), now);
    if (isDoubtful(ticket, record)) this.#split.doubt(placementOf(ticket)?.version ?? '', now);
    const isUnused = isReturned || record.result === 'refused';
    this.#book.endRunning(id, { _tag: isUnused ? 'givenBack' : 'released' }, now);
    return this.#place(now);
  }

  /**
   * Frees the slot of a request that its home has suspended.
   *
   * @param from - the home's incarnation
   * @param id - the request
   * @param now - present time in ms
   * @returns grants that have become possible
   */
  confirmSuspension(from: string, id: string, now: number): Action[] {
    if (this.#book.granted.find(id)?.owner !== from) return [];
    this.#book.granted.suspend(id, now);
    return this.#place(now);
  }

  /**
   * Takes over what a home has running by grants of another scheduler, or confirms own grants.
   *
   * @param from - the home's incarnation
   * @param message - the grants in use
   * @param now - present time in ms
   * @returns resumptions that have become possible
   */
  adoptGrants(from: string, message: InFlight, now: number): Action[] {
    const { granted: running, history } = this.#book;
    message.grants.forEach((inFlight) => {
      const { id } = inFlight.grant;
      const held = running.find(id);
      if (held !== undefined) held.confirmedAt = now;
      else if (history.find(id)?._tag !== 'released') this.#adoptOne(from, inFlight, now);
    });
    return this.#place(now);
  }

  /**
   * Takes an engine's load report.
   *
   * @param endpoint - the endpoint's name or address
   * @param report - the report
   * @param now - present time in ms
   */
  applyLoadReport(endpoint: string, report: LoadReport, now: number): void {
    new Set(this.#endpoints.findByNameOrAddress(endpoint).map(({ host }) => host)).forEach((host) =>
      host.applyLoadReport(report, now),
    );
  }

  /**
   * Takes an engine's cache events.
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
   * Stops all work for a home that is gone. What waited stays known, so that others can learn of it.
   *
   * @param incarnation - the home
   * @param now - present time in ms
   * @returns grants that have become possible
   */
  handleOwnerLoss(incarnation: string, now: number): Action[] {
    this.#book.handleOwnerLoss(incarnation, now);
    return this.#place(now);
  }

  /**
   * Tells what is known of an id whose home may be gone.
   *
   * @param id - the request
   * @param homeHeardRecently - whether the home may still be at work
   * @returns `granted` also where its end may have been forgotten before its time
   */
  findingOf(id: string, homeHeardRecently: boolean): RequestFinding {
    return this.#book.findingOf(id, homeHeardRecently);
  }

  /**
   * Makes sure that an id is never granted here.
   *
   * @param id - the request
   */
  voidId(id: string): void {
    this.#book.voidId(id, this.#now);
  }

  /**
   * Acts on passed time: refusals, suspensions, lost releases, speeds.
   *
   * @param now - present time in ms
   * @returns grants, refusals and suspensions
   */
  tick(now: number): Action[] {
    if (now < this.#sweepAt) return this.#place(now);
    const { size } = this.#book.queue;
    this.#sweepAt = now + Math.max(SWEEP_INTERVAL_MS, size / TICKETS_PER_SWEEP_MS);
    this.#book.forget(now);
    this.#judgeSpeeds(now);
    return [...this.#admission.sweep(now), ...this.#place(now)];
  }

  /** @returns whether any ticket waits or was granted and isn't over */
  isBusy(): boolean {
    return this.#book.queue.size > 0 || this.#book.granted.size > 0;
  }

  /** @returns figures for metrics and logs */
  snapshot(): SchedulerSnapshot {
    const { queue, granted: running, history } = this.#book;
    const granted = running.all();
    const inSlots = granted.filter(holdsSlot).length;
    return {
      pool: this.#pool,
      waiting: queue.size,
      running: inSlots,
      suspended: granted.length - inSlots,
      remembered: history.size,
      endpoints: this.#endpoints.all().map((state) => ({
        name: state.endpoint.name,
        running: state.countRunning(),
        slots: state.host.slots,
        slowdown: state.slowdown(this.#now),
        aside: state.health.ejectionReason,
      })),
    };
  }

  #take(from: string, reservation: Reservation, now: number): Action[] {
    const { id } = reservation;
    const granted = this.#book.granted.find(id);
    if (granted !== undefined && !this.#isStale(granted)) return repeatGrant(from, granted, now);
    if (granted?.owner === from) this.#book.endRunning(id, { _tag: 'givenBack' }, now);
    if (this.#book.findWaiting(id) !== undefined) return [];
    const past = this.#book.history.find(id);
    if (past?._tag === 'released') return [];
    if (past?._tag === 'refused') return [refusalFor(from, id, past.reason, past.retryAfterMs)];
    if (this.#book.isBarred(id, from)) {
      return [refusalFor(from, id, 'entry_lost', ENTRY_LOST_RETRY_MS)];
    }
    const alone = this.#placer.estimateWhenIdle(reservation);
    const ticket = this.#book.create(from, reservation, alone, now);
    const refusal = this.#admission.judgeArrival(ticket, now);
    if (refusal !== undefined) return this.#book.refuse(ticket, refusal, now);
    this.#book.enqueue(ticket);
    return [];
  }

  /** Whether a grant, if its home never got it, must not be repeated: its endpoint gets no new work. */
  #isStale(ticket: Ticket): boolean {
    const name = placementOf(ticket)?.endpoint;
    const isUsable = this.#placer.usable().some(({ endpoint }) => endpoint.name === name);
    return ticket.state._tag === 'granted' && !isUsable;
  }

  #adoptOne(
    from: string,
    { grant, reservation, suspended }: InFlight['grants'][number],
    now: number,
  ): void {
    const { id, endpoint, version, estimateMs } = grant;
    const waiting = this.#book.findWaiting(id);
    if (waiting !== undefined) this.#book.leaveQueue(waiting, { _tag: 'givenBack' }, now);
    const state = this.#endpoints.find(endpoint);
    const ticket = this.#book.create(from, reservation, { workMs: 0, cachedTokens: 0 }, now);
    // Its start isn't known here, so its times would mislead.
    ticket.wasSuspended = true;
    const placement: Placement = {
      endpoint,
      version,
      grantedAt: now,
      estimateMs,
      cachedTokens: 0,
      concurrency: (state?.host.running ?? 0) + 1,
      prefillTokens: 0,
      backlogTokens: 0,
      firstTokenMs: 1,
    };
    this.#book.granted.grant(ticket, placement, state, now);
    if (suspended === true) this.#book.granted.suspend(id, now);
    if (this.#book.isBarred(id, from)) this.#book.granted.expireSlotsOfOwner(from, now);
  }

  #failureRatioBeside(endpoint: string): number {
    const others = this.#placer.usable().filter((state) => state.endpoint.name !== endpoint);
    return Math.max(0, ...others.map(({ health }) => health.failureRatio));
  }

  #place(now: number): Action[] {
    this.#now = now;
    return this.#placer.place(now);
  }

  #judgeSpeeds(now: number): void {
    if (this.#policy.placement !== 'product') return;
    const states = this.#placer.usable();
    const slowdowns = states.map((state) => state.slowdown(now)).sort((a, b) => a - b);
    const middle = slowdowns[Math.floor((slowdowns.length - 1) / 2)] ?? 1;
    states.forEach((state) => state.health.judgeSpeed(state.slowdown(now), middle, now));
  }
}

function repeatGrant(from: string, ticket: Ticket, now: number): Action[] {
  const grant = grantOf(ticket);
  if (grant === undefined || ticket.owner !== from || ticket.state._tag !== 'granted') return [];
  ticket.confirmedAt = now;
  return [grantsFor(from, [grant])];
}
