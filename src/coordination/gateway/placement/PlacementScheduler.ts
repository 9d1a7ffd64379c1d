import type {
  ActivePlacement,
  PlacementRefusalReason,
  PlacementResult,
  PlacementTicket,
} from '../../../protocol/peer/GatewayMessages.ts';
import { endpointStartOf, type EndpointRecord } from '../../../state/gateway/index.ts';
import { adviseRetryAfter } from './adviseRetryAfter.ts';
import { EndpointLimits } from '../limits/EndpointLimits.ts';
import { EngineGroup } from './EngineGroup.ts';
import { EngineLoad, type RunningPlacement } from './EngineLoad.ts';
import { orderQueue, fairnessGroup, type WaitingPlacement } from './orderQueue.ts';
import { chooseEngine, type EngineCandidate, type PlacementLimits } from './chooseEngine.ts';
import { msUntilIncluded } from './msUntilIncluded.ts';
import { MeanEngineTimes } from './MeanEngineTimes.ts';
import { preferHealthy } from './preferHealthy.ts';
import { EVERY_CANDIDATE, type CandidateFilter } from '../rollouts/CandidateFilter.ts';
import { drawOf } from '../rollouts/drawOf.ts';
import { RouteMeanSizes } from './RouteMeanSizes.ts';
import { GrantRatios } from './GrantRatios.ts';

/** A scheduler's decision for one ticket. */
export type PlacementDecision =
  | {
      readonly _tag: 'grant';
      readonly owner: string;
      readonly ticket: PlacementTicket;
      readonly endpoint: string;
      readonly waitedMs: number;
      /** Expected time to first token, in ms. */
      readonly firstTokenMs: number;
      /** Slots that are left at the engine after the grant. */
      readonly freeSlots: number;
    }
  | {
      readonly _tag: 'refuse';
      readonly owner: string;
      readonly ticket: PlacementTicket;
      readonly reason: PlacementRefusalReason;
      readonly waitedMs: number;
      /** Expected time until a slot would have been free, in ms. */
      readonly expectedWaitMs: number;
      /** Time after which the caller should retry, in ms. */
      readonly retryAfterMs: number;
      /** Engines of the service, and those of them that this request could use; absent if it wasn't queued. */
      readonly engines?: { readonly listed: number; readonly usable: number };
    };

/** An engine that gets no requests for a while, because of the outcome of one. */
export interface EngineBackoff {
  readonly endpoint: string;
  /** Incarnation of the gateway whose request it was. */
  readonly owner: string;
  readonly backoffMs: number;
}

const MS_PER_SECOND = 1_000;
/** Time for a grant to reach its gateway and to appear in the state that the gateway reports. */
const GRANT_DELIVERY_GRACE_MS = 1_000;
/** Lower bound that keeps the expected wait finite. */
const MINIMUM_SLOTS = 1e-4;
/** A request with less time left is refused instead of placed. */
const MINIMUM_REMAINING_MS = 50;

/** Part of the engine slots that a scheduler may use; other processes use the rest. */
export interface SlotAllocation {
  /** Fraction of each engine's slots, from 0 to 1. */
  readonly share: number;
}

/** Refuses a request that isn't queued; its gateway sends it to another endpoint. */
const refuseImmediately = (
  { owner, ticket, arrivedAt }: WaitingPlacement,
  untilAllowedMs: number,
  engines: { readonly listed: number; readonly usable: number },
  now: number,
): PlacementDecision => ({
  _tag: 'refuse',
  owner,
  ticket,
  reason: 'overload',
  waitedMs: now - arrivedAt,
  expectedWaitMs: untilAllowedMs,
  retryAfterMs: untilAllowedMs,
  engines,
});

/**
 * Queues requests for model engines and places them. An engine admits requests in order of arrival,
 * so they are queued and ordered here, and sent only when a slot is free.
 */
export class PlacementScheduler {
  readonly #engines = new Map<string, EngineLoad>();

  readonly #waiting = new Map<string, WaitingPlacement>();

  readonly #grantRatios = new GrantRatios();

  readonly #routeSizes = new RouteMeanSizes();

  readonly #limits: EndpointLimits;

  readonly #meanEngineTimes = new MeanEngineTimes();

  #allocation: SlotAllocation = { share: 1 };

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
    this.#candidates = candidates;
  }

  /** Sets the fraction of each endpoint's slots and limits that this scheduler may use. */
  setSlotAllocation(allocation: SlotAllocation): void {
    this.#allocation = allocation;
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
   */
  enqueue(owner: string, ticket: PlacementTicket, now: number): void {
    if (this.hasTicket(ticket.id)) return;
    // A ticket with endpoints to avoid is a further attempt of a request that was counted before.
    if (ticket.avoid.length === 0) {
      this.#routeSizes.record(ticket);
      this.#grantRatios.recordRequest(fairnessGroup(ticket, this.#routeSizes), now);
    }
    this.#waiting.set(ticket.id, { owner, ticket, arrivedAt: now });
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

  /** Removes a ticket from the queue; one that doesn't wait is ignored. */
  withdraw(id: string): void {
    this.#waiting.delete(id);
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
    if (!placement.started) engine.speed.recordPrefill(placement.prefillTokens, firstTokenMs);
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
    if (decodeMs !== undefined && outputTokens !== undefined)
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
      if (queued.owner === owner) this.#waiting.delete(id);
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

  /** Number of waiting tickets. */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /** Returns the state of all engines. */
  engines(): readonly EngineLoad[] {
    return [...this.#engines.values()];
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
    const engines = [...this.#engines.values()].filter(({ record }) => record.service === service);
    const parts = this.#candidates.partition(service, engines, ({ record }) => record);
    const group = new EngineGroup(
      parts.flatMap((part) => preferHealthy(part, ({ availability }) => availability, now)),
    );
    const waiting = [...this.#waiting.values()].filter(({ ticket }) => ticket.service === service);
    const ordered = orderQueue(waiting, {
      group,
      grantRatios: this.#grantRatios,
      routeSizes: this.#routeSizes,
      now,
    });
    const decisions: PlacementDecision[] = [];
    const listed = engines.length;
    /** Slot time that the tickets ahead in the queue are expected to use, in ms. */
    let slotMsQueuedAhead = 0;
    const slots = this.#countSlots(group, ordered, now);
    ordered.forEach((queued) => {
      const decision = this.#decide(queued, { group, listed }, slotMsQueuedAhead / slots, now);
      if (decision === undefined) {
        slotMsQueuedAhead += group.forecast(queued.ticket).slotHoldMs;
        return;
      }
      if (decision._tag === 'grant')
        this.#meanEngineTimes.record(service, group.forecast(queued.ticket).engineTimeMs);
      this.#waiting.delete(queued.ticket.id);
      decisions.push(decision);
    });
    return decisions;
  }

  /**
   * Grants a slot to a ticket, or refuses it.
   *
   * @param queued - the ticket
   * @param engines - the usable engines of its service, and the number of all that are listed
   * @param expectedWaitMs - expected time until a slot is free, in ms
   * @param now - current time, in ms
   * @returns the decision, or undefined if the ticket stays in the queue
   */
  #decide(
    queued: WaitingPlacement,
    { group, listed }: { readonly group: EngineGroup; readonly listed: number },
    expectedWaitMs: number,
    now: number,
  ): PlacementDecision | undefined {
    const { ticket, owner, arrivedAt } = queued;
    const waitedMs = now - arrivedAt;
    const reachable = this.#candidates.select(
      { service: ticket.service, route: ticket.route, draw: drawOf(ticket.id) },
      group.engines.filter(
        ({ record, availability }) =>
          !ticket.avoid.includes(record.id) && availability.isReachableFrom(owner, now),
      ),
      ({ record }) => record,
      now,
    );
    const restMs = ({ record }: EngineLoad): number => msUntilIncluded(ticket, record.id, waitedMs);
    const usable =
      ticket.excluded === undefined
        ? reachable
        : reachable.filter((engine) => restMs(engine) === 0);
    const engines = { listed, usable: usable.length };
    const refuse = (
      reason: PlacementRefusalReason,
      expectedMs = expectedWaitMs,
    ): PlacementDecision => ({
      _tag: 'refuse',
      owner,
      ticket,
      reason,
      waitedMs,
      expectedWaitMs: expectedMs,
      retryAfterMs: adviseRetryAfter(
        ticket.id,
        expectedMs,
        this.#grantRatios.grantRatio(fairnessGroup(ticket, this.#routeSizes), now),
      ),
      engines,
    });
    const remainingMs = ticket.remainingMs - waitedMs;
    if (remainingMs < MINIMUM_REMAINING_MS) return refuse('deadline');
    if (usable.length === 0) {
      const untilIncludedMs = Math.min(...reachable.map(restMs));
      if (!Number.isFinite(untilIncludedMs)) return refuse('noEndpoint');
      if (ticket.immediate) return refuseImmediately(queued, untilIncludedMs, engines, now);
      // It waits for the end of a rest as long as its deadline allows.
      return untilIncludedMs + group.forecast(ticket).firstTokenMs > remainingMs
        ? refuse('overload', untilIncludedMs)
        : undefined;
    }
    const targetMs = ticket.targetMs - waitedMs;
    const limitWaitMs = (engine: EngineLoad): number =>
      this.#limits.msUntilAllowed(endpointStartOf(engine.record), now);
    const open = this.#limits.isEmpty
      ? usable
      : usable.filter((engine) => limitWaitMs(engine) <= 0);
    const limits: PlacementLimits = {
      targetMs,
      remainingMs,
      now,
      slotLimitOf: (engine) => group.slotLimit(engine, this.#usableSlots(engine, now)),
    };
    const candidate =
      this.#chooseUnlimited(ticket, open, group, limits) ?? chooseEngine(ticket, open, limits);
    if (candidate !== undefined) return this.#grant(queued, candidate, now);
    if (open.length === 0) {
      const untilAllowedMs = Math.min(...usable.map(limitWaitMs));
      if (ticket.immediate) return refuseImmediately(queued, untilAllowedMs, engines, now);
      // Requests that only limited endpoints can take wait as long as their deadlines allow.
      const limitedWaitMs = expectedWaitMs + untilAllowedMs;
      return limitedWaitMs + group.forecast(ticket).firstTokenMs > remainingMs
        ? refuse('overload', limitedWaitMs)
        : undefined;
    }
    if (ticket.immediate) return refuseImmediately(queued, 0, engines, now);
    const willMissTarget = expectedWaitMs + group.forecast(ticket).firstTokenMs > targetMs;
    if (!willMissTarget) return undefined;
    // The target for the first token can't be met by waiting, so the request is placed late if its
    // deadline allows it.
    const lateCandidate = chooseEngine(ticket, open, {
      ...limits,
      targetMs: Number.POSITIVE_INFINITY,
    });
    return lateCandidate === undefined
      ? refuse('overload')
      : this.#grant(queued, lateCandidate, now);
  }

  /**
   * Chooses an engine without a limit for a short request, so that engines that accept few requests get the
   * long ones.
   */
  #chooseUnlimited(
    ticket: PlacementTicket,
    engines: readonly EngineLoad[],
    group: EngineGroup,
    limits: PlacementLimits,
  ): EngineCandidate | undefined {
    if (this.#limits.isEmpty) return undefined;
    const { engineTimeMs } = group.forecast(ticket);
    if (this.#meanEngineTimes.isLong(ticket.service, engineTimeMs)) return undefined;
    const unlimited = engines.filter(
      ({ record }) => !this.#limits.isLimited(endpointStartOf(record), limits.now),
    );
    return chooseEngine(ticket, unlimited, limits);
  }

  #grant(
    { ticket, owner, arrivedAt }: WaitingPlacement,
    { engine, firstTokenMs, prefillTokens }: EngineCandidate,
    now: number,
  ): PlacementDecision {
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
    }
    return {
      _tag: 'grant',
      owner,
      ticket,
      endpoint: engine.record.id,
      waitedMs: now - arrivedAt,
      firstTokenMs,
      freeSlots: this.#usableSlots(engine, now) - engine.running.size,
    };
  }

  /**
   * Counts the slots of a group. An endpoint that limits the rate of its requests counts with the slots that
   * requests at this rate hold.
   */
  #countSlots(group: EngineGroup, waiting: readonly WaitingPlacement[], now: number): number {
    const { engines } = group;
    if (this.#limits.isEmpty || waiting.length === 0)
      return Math.max(
        1,
        engines.reduce((sum, engine) => sum + this.#usableSlots(engine, now), 0),
      );
    const holdMs = waiting.map(({ ticket }) => group.forecast(ticket).slotHoldMs);
    const meanHoldMs = holdMs.reduce((sum, value) => sum + value, 0) / waiting.length;
    const slots = engines.reduce((sum, engine) => {
      const rate = this.#limits.rateOf(endpointStartOf(engine.record), now);
      return sum + Math.min(this.#usableSlots(engine, now), (rate * meanHoldMs) / MS_PER_SECOND);
    }, 0);
    return Math.max(MINIMUM_SLOTS, slots);
  }

  #usableSlots({ record }: EngineLoad, now: number): number {
    const slots = Math.max(1, Math.floor(record.slots * this.#allocation.share));
    return this.#limits.isEmpty
      ? slots
      : this.#limits.slotLimit(endpointStartOf(record), slots, now);
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
