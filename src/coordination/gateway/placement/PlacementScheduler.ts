import type {
  ActivePlacement,
  PlacementResult,
  PlacementTicket,
} from '../../../protocol/peer/GatewayMessages.ts';
import { endpointStartOf, type EndpointRecord } from '../../../state/gateway/index.ts';
import { EndpointLimits } from '../limits/EndpointLimits.ts';
import { AccountShares } from './AccountShares.ts';
import type { EngineCandidate } from './chooseEngine.ts';
import { ColdSlowdown } from './ColdSlowdown.ts';
import { EngineGroup } from './EngineGroup.ts';
import { EngineLoad, type RunningPlacement } from './EngineLoad.ts';
import { EVERY_CANDIDATE, type CandidateFilter } from '../rollouts/CandidateFilter.ts';
import { GrantRatios } from './GrantRatios.ts';
import { MeanEngineTimes } from './MeanEngineTimes.ts';
import { orderQueue, fairnessGroup, type WaitingPlacement } from './orderQueue.ts';
import type { PlacementDecision } from './PlacementDecision.ts';
import { preferHealthy } from './preferHealthy.ts';
import { RetryReservations } from './RetryReservations.ts';
import { RouteMeanSizes } from './RouteMeanSizes.ts';
import { SizeShares } from './SizeShares.ts';
import { SlotCounter, type SlotAllocation } from './SlotCounter.ts';
import { TicketAdmission, type Admission } from './TicketAdmission.ts';

/** An engine that gets no requests for a while, because of the outcome of one. */
export interface EngineBackoff {
  readonly endpoint: string;
  /** Incarnation of the gateway whose request it was. */
  readonly owner: string;
  readonly backoffMs: number;
}

/** Time for a grant to reach its gateway and to appear in the state that the gateway reports. */
const GRANT_DELIVERY_GRACE_MS = 1_000;

/**
 * Queues requests for model engines and places them. An engine admits requests in order of arrival,
 * so they are queued and ordered here, and sent only when a slot is free.
 */
export class PlacementScheduler {
  readonly #engines = new Map<string, EngineLoad>();

  readonly #waiting = new Map<string, WaitingPlacement>();

  readonly #grantRatios = new GrantRatios();

  readonly #routeSizes = new RouteMeanSizes();

  readonly #sizeShares = new SizeShares(this.#routeSizes);

  readonly #accountShares = new AccountShares();

  readonly #limits: EndpointLimits;

  readonly #meanEngineTimes = new MeanEngineTimes();

  readonly #coldSlowdown = new ColdSlowdown();

  /** Ids of waiting tickets that were delayed by the caps of endpoints. */
  readonly #delayedByCap = new Set<string>();

  /**
   * Whether an engine may get requests now, asked at each decision; undefined if all may. The running requests and the
   * estimates of those that may not are kept.
   */
  isUsable: ((record: EndpointRecord) => boolean) | undefined;

  readonly #slots: SlotCounter;

  readonly #admission: TicketAdmission;

  readonly #candidates: CandidateFilter;

  /**
   * @param limits - rates of requests that endpoints accept, of which each grant uses one request
   * @param candidates - selects the engines that a request may use by their versions
   */
  constructor(
    limits: EndpointLimits = new EndpointLimits(),
    candidates: CandidateFilter = EVERY_CANDIDATE,
  ) {
    this.#limits = limits;
    this.#slots = new SlotCounter(limits);
    this.#admission = new TicketAdmission({
      limits,
      slots: this.#slots,
      grantRatios: this.#grantRatios,
      routeSizes: this.#routeSizes,
      meanEngineTimes: this.#meanEngineTimes,
      reservations: new RetryReservations(),
      coldSlowdown: this.#coldSlowdown,
      candidates,
    });
    this.#candidates = candidates;
  }

  /** Sets the fraction of each endpoint's slots and limits that this scheduler may use. */
  setSlotAllocation(allocation: SlotAllocation): void {
    this.#slots.setAllocation(allocation);
    this.#limits.setShare(allocation.share);
  }

  /**
   * Replaces the engines that may get requests. Engines that aren't listed are removed together
   * with the state of their running requests, which the engine itself still completes.
   *
   * @param records - all engines that are ready
   */
  setEngines(records: readonly EndpointRecord[]): void {
    const ready = new Set(records.map(({ id }) => id));
    [...this.#engines.keys()]
      .filter((id) => !ready.has(id))
      .forEach((id) => this.#engines.delete(id));
    records.forEach((record) => {
      const existing = this.#engines.get(record.id);
      if (existing === undefined) this.#engines.set(record.id, new EngineLoad(record));
      else existing.updateRecord(record);
    });
  }

  /**
   * Adds a ticket to the queue; a ticket that already waits or runs is ignored.
   *
   * @param owner - incarnation of the gateway that received the request
   * @param ticket - the request
   * @param now - current time, in ms
   * @param arrivedAt - when this process received it, if it waited for its quota since; in ms
   */
  enqueue(owner: string, ticket: PlacementTicket, now: number, arrivedAt = now): void {
    if (this.hasTicket(ticket.id)) return;
    // A ticket with endpoints to avoid is a further attempt of a request that was counted before.
    if (ticket.avoid.length === 0) {
      this.#routeSizes.record(ticket);
      this.#accountShares.recordRequest(ticket, now);
      this.#sizeShares.recordRequest(ticket, now);
      this.#grantRatios.recordRequest(fairnessGroup(ticket, this.#routeSizes), now);
    }
    this.#waiting.set(ticket.id, { owner, ticket, arrivedAt });
  }

  /** Whether a ticket waits in the queue or its request runs at an engine. */
  hasTicket(id: string): boolean {
    return this.#waiting.has(id) || this.#findRunning(id) !== undefined;
  }

  /** Whether a ticket waits in the queue. */
  isWaiting(id: string): boolean {
    return this.#waiting.has(id);
  }

  /** Returns the ticket and the engine of a running request; undefined if it doesn't run. */
  findRunning(
    id: string,
  ): { readonly ticket: PlacementTicket; readonly record: EndpointRecord } | undefined {
    const running = this.#findRunning(id);
    return running && { ticket: running.placement.ticket, record: running.engine.record };
  }

  /** Returns the record of an engine; undefined if it isn't known here. */
  findRecord(endpoint: string): EndpointRecord | undefined {
    return this.#engines.get(endpoint)?.record;
  }

  /** Removes a ticket from the queue; one that doesn't wait is ignored. */
  withdraw(id: string): void {
    this.#waiting.delete(id);
    this.#delayedByCap.delete(id);
  }

  /**
   * Records the first token of a running request and updates the engine's prefill speed.
   *
   * @param id - the ticket's id; an unknown one is ignored
   * @param firstTokenMs - time from sending the request to its first token, in ms
   * @param now - current time, in ms
   */
  recordFirstToken(id: string, firstTokenMs: number, now: number): void {
    const running = this.#findRunning(id);
    if (running === undefined) return;
    const { engine, placement } = running;
    if (!placement.started) this.#recordPrefill(engine, placement.prefillTokens, firstTokenMs, now);
    engine.recordFirstToken(id, now);
  }

  /**
   * Releases the slot of a request, and updates the engine's availability and decode speed.
   *
   * @param id - the ticket's id; an unknown one is ignored
   * @param result - how the request ended
   * @param now - current time, in ms
   * @returns the backoff of the engine that the outcome led to, if any
   */
  recordEnd(id: string, result: PlacementResult, now: number): EngineBackoff | undefined {
    const running = this.#findRunning(id);
    if (running === undefined) return undefined;
    const { engine, placement } = running;
    engine.release(id, now);
    const start = endpointStartOf(engine.record);
    if (result.outcome === 'unused') this.#limits.refund(start, now);
    if (result.outcome === 'turnedAway')
      this.#limits.recordRejection(start, engine.running.size, now);
    const backoffMs = engine.availability.recordOutcome(result.outcome, now, placement.owner);
    const { decodeMs, outputTokens } = result;
    const isCold = this.#limits.coldCaps.isCold(start, now);
    if (decodeMs !== undefined && outputTokens !== undefined && !isCold)
      engine.speed.recordDecode(outputTokens, decodeMs);
    const isBackoff = result.outcome === 'unreachable' || result.outcome === 'turnedAway';
    return isBackoff && backoffMs > 0
      ? { endpoint: engine.record.id, owner: placement.owner, backoffMs }
      : undefined;
  }

  /**
   * Reconciles the running requests of a gateway with the state that the gateway reports.
   *
   * @param owner - the gateway's incarnation
   * @param running - all requests that it runs
   * @param now - current time, in ms
   */
  reconcile(owner: string, running: readonly ActivePlacement[], now: number): void {
    const reportedIds = new Set(running.map(({ ticket }) => ticket.id));
    // The owner may not have received a recent grant yet.
    const isStale = (placement: RunningPlacement): boolean =>
      placement.owner === owner && now - placement.grantedAt > GRANT_DELIVERY_GRACE_MS;
    this.#engines.forEach((engine) =>
      engine.running.forEach((placement, id) => {
        if (isStale(placement) && !reportedIds.has(id)) engine.running.delete(id);
      }),
    );
    running.forEach((reported) => this.#addReported(owner, reported, now));
  }

  /** Removes the waiting and running requests of a gateway that is gone. */
  removeOwner(owner: string): void {
    this.#waiting.forEach((queued, id) => {
      if (queued.owner === owner) this.withdraw(id);
    });
    this.#engines.forEach(({ running }) =>
      running.forEach((placement, id) => {
        if (placement.owner === owner) running.delete(id);
      }),
    );
  }

  /**
   * Removes the waiting and running requests of all gateways except one.
   *
   * @param owner - incarnation of the gateway whose requests stay
   */
  removeOtherOwners(owner: string): void {
    const owners = new Set<string>();
    this.#waiting.forEach((queued) => owners.add(queued.owner));
    this.#engines.forEach(({ running }) =>
      running.forEach((placement) => owners.add(placement.owner)),
    );
    owners.delete(owner);
    owners.forEach((other) => this.removeOwner(other));
  }

  /**
   * Uses the estimates of another scheduler for engines whose prefill speed wasn't measured here.
   *
   * @param speeds - prefill time per prompt token and decode time per output token, in ms, by
   *   endpoint id; unknown endpoints are ignored
   */
  seedSpeeds(
    speeds: readonly {
      readonly endpoint: string;
      readonly readMsPerToken: number;
      readonly decodeMsPerToken: number;
    }[],
  ): void {
    speeds.forEach(({ endpoint, readMsPerToken, decodeMsPerToken }) => {
      this.#engines.get(endpoint)?.speed.seed(readMsPerToken, decodeMsPerToken);
    });
  }

  /** Returns the gateways that have waiting tickets. */
  ownersWaiting(): ReadonlySet<string> {
    return new Set([...this.#waiting.values()].map(({ owner }) => owner));
  }

  /** Number of waiting tickets. */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /** Returns the state of all engines. */
  engines(): readonly EngineLoad[] {
    return [...this.#engines.values()];
  }

  /** Returns the occupied part of the slots of a service's engines, from 0 to 1; 0 if it has no engines. */
  occupancyOf(service: string): number {
    const engines = this.engines().filter(({ record }) => record.service === service);
    const slots = engines.reduce((sum, { record }) => sum + Math.max(1, record.slots), 0);
    return engines.reduce((sum, { running }) => sum + running.size, 0) / Math.max(1, slots);
  }

  /**
   * Places or refuses waiting tickets, or leaves them in the queue.
   *
   * @param now - current time, in ms
   * @returns grants and refusals, by service and in the order of each queue
   */
  schedule(now: number): PlacementDecision[] {
    if (this.#waiting.size === 0) return [];
    const decisions: PlacementDecision[] = [];
    const services = new Set([...this.#waiting.values()].map(({ ticket }) => ticket.service));
    services.forEach((service) => decisions.push(...this.#scheduleService(service, now)));
    return decisions;
  }

  #scheduleService(service: string, now: number): PlacementDecision[] {
    const engines = [...this.#engines.values()].filter(
      ({ record }) => record.service === service && (this.isUsable?.(record) ?? true),
    );
    const parts = this.#candidates.partition(service, engines, ({ record }) => record);
    const group = new EngineGroup(
      parts.flatMap((part) => preferHealthy(part, ({ availability }) => availability, now)),
    );
    const waiting = [...this.#waiting.values()].filter(({ ticket }) => ticket.service === service);
    const isAboveShare = this.#accountShares.findAboveShare(now);
    const queue = orderQueue(waiting, {
      group,
      grantRatios: this.#grantRatios,
      routeSizes: this.#routeSizes,
      isAboveShare,
      sizeShares: this.#sizeShares,
      now,
    });
    // Second copies come last: they get only what no other ticket waits for.
    const isHedge = ({ ticket }: WaitingPlacement): boolean => ticket.hedge !== undefined;
    const ordered = queue.some(isHedge)
      ? [...queue.filter((queued) => !isHedge(queued)), ...queue.filter(isHedge)]
      : queue;
    const decisions: PlacementDecision[] = [];
    /** Slot time that the tickets ahead in the queue are expected to use, in ms. */
    let slotMsQueuedAhead = 0;
    const slots = this.#slots.ofGroup(group, ordered, now);
    ordered.forEach((queued) => {
      const admission = this.#admission.decide(
        queued,
        { group, listed: engines.length, expectedWaitMs: slotMsQueuedAhead / slots },
        now,
      );
      if (admission._tag === 'wait') {
        if (admission.isCapped) this.#delayedByCap.add(queued.ticket.id);
        slotMsQueuedAhead += group.forecast(queued.ticket).slotHoldMs;
        return;
      }
      if (admission._tag === 'grant') {
        const { engineTimeMs } = group.forecast(queued.ticket);
        this.#meanEngineTimes.record(service, engineTimeMs);
        if (queued.ticket.avoid.length === 0)
          this.#accountShares.recordGrant(queued.ticket, engineTimeMs, now);
      }
      this.#waiting.delete(queued.ticket.id);
      const aboveShare = isAboveShare(queued.ticket);
      const decision = this.#carryOut(queued, admission, { group, aboveShare }, now);
      const isDelayedByCap = this.#delayedByCap.delete(queued.ticket.id);
      decisions.push(isDelayedByCap ? { ...decision, isDelayedByCap } : decision);
    });
    return decisions;
  }

  /** The speed of an engine is estimated from what it does while it is warm. */
  #recordPrefill(
    { speed, record }: EngineLoad,
    prefillTokens: number,
    firstTokenMs: number,
    now: number,
  ): void {
    if (this.#limits.coldCaps.isCold(endpointStartOf(record), now))
      this.#coldSlowdown.recordFirstToken(firstTokenMs, speed.estimateFirstTokenMs(prefillTokens));
    else speed.recordPrefill(prefillTokens, firstTokenMs);
  }

  #carryOut(
    queued: WaitingPlacement,
    admission: Exclude<Admission, { readonly _tag: 'wait' }>,
    { group, aboveShare }: { readonly group: EngineGroup; readonly aboveShare: boolean },
    now: number,
  ): PlacementDecision {
    switch (admission._tag) {
      case 'grant':
        return {
          ...this.#grant(queued, admission.candidate, now),
          engineGroup: group.speedGroup(admission.candidate.engine),
          aboveShare,
        };
      case 'refuse': {
        const { owner, ticket, arrivedAt } = queued;
        return { ...admission, owner, ticket, aboveShare, waitedMs: now - arrivedAt };
      }
      default:
        return admission satisfies never;
    }
  }

  #grant(
    { ticket, owner, arrivedAt }: WaitingPlacement,
    { engine, firstTokenMs, prefillTokens }: EngineCandidate,
    now: number,
  ): Omit<Extract<PlacementDecision, { readonly _tag: 'grant' }>, 'engineGroup' | 'aboveShare'> {
    this.#limits.consume(endpointStartOf(engine.record), now);
    engine.grant({
      ticket,
      owner,
      grantedAt: now,
      prefillTokens,
      started: false,
    });
    if (ticket.avoid.length === 0) {
      this.#grantRatios.recordGrant(fairnessGroup(ticket, this.#routeSizes), now);
      this.#sizeShares.recordGrant(ticket, now);
    }
    return {
      _tag: 'grant',
      owner,
      ticket,
      endpoint: engine.record.id,
      waitedMs: now - arrivedAt,
      firstTokenMs,
      freeSlots: this.#slots.ofEngine(engine, now) - engine.running.size,
    };
  }

  #addReported(
    owner: string,
    { ticket, endpoint, ageMs, started }: ActivePlacement,
    now: number,
  ): void {
    const engine = this.#engines.get(endpoint);
    if (engine === undefined || engine.running.has(ticket.id)) return;
    engine.running.set(ticket.id, {
      ticket,
      owner,
      grantedAt: now - ageMs,
      prefillTokens: ticket.promptTokens,
      started,
    });
  }

  #findRunning(
    id: string,
  ): { readonly engine: EngineLoad; readonly placement: RunningPlacement } | undefined {
    const found = [...this.#engines.values()].find(({ running }) => running.has(id));
    const placement = found?.running.get(id);
    return found && placement ? { engine: found, placement } : undefined;
  }
}
