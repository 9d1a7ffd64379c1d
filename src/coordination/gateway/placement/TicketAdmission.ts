import type {
  PlacementRefusalReason,
  PlacementTicket,
} from '../../../protocol/peer/GatewayMessages.ts';
import { endpointStartOf } from '../../../state/gateway/index.ts';
import type { EndpointLimits } from '../limits/EndpointLimits.ts';
import type { CandidateFilter } from '../rollouts/CandidateFilter.ts';
import { drawOf } from '../rollouts/drawOf.ts';
import { admitHedge } from './admitHedge.ts';
import { adviseRetryAfter } from './adviseRetryAfter.ts';
import { chooseEngine, type EngineCandidate, type PlacementLimits } from './chooseEngine.ts';
import type { ColdSlowdown } from './ColdSlowdown.ts';
import type { EngineGroup } from './EngineGroup.ts';
import type { EngineLoad } from './EngineLoad.ts';
import type { GrantRatios } from './GrantRatios.ts';
import type { MeanEngineTimes } from './MeanEngineTimes.ts';
import { msUntilIncluded } from './msUntilIncluded.ts';
import { fairnessGroup, type WaitingPlacement } from './orderQueue.ts';
import type { RetryReservations } from './RetryReservations.ts';
import type { RouteMeanSizes } from './RouteMeanSizes.ts';
import type { SlotCounter } from './SlotCounter.ts';

/** Part of its remaining time that a rejected caller waits at most before it retries. */
const LONGEST_RETRY_SHARE = 1 / 3;
/**
 * A retry is late in most cases, so its caller loses nothing by waiting, and the later it comes the more of
 * the congestion is over: it is placed in the last half of the time that the caller can wait.
 */
const EARLIEST_RETRY_SHARE = 0.5;
/** Longest time for which engine time is reserved, in ms, which bounds the reservations that are kept. */
const MAXIMUM_RETRY_MS = 10_000;
/** Shortest time to a retry, in ms. */
const MINIMUM_RETRY_MS = 250;
/** A request with less time left is refused instead of placed. */
const MINIMUM_REMAINING_MS = 50;

/** A ticket that doesn't get a slot. */
export interface Refusal {
  readonly _tag: 'refuse';
  readonly reason: PlacementRefusalReason;
  /** Expected time until a slot would have been free, in ms. */
  readonly expectedWaitMs: number;
  /** Time after which the caller should retry, in ms. */
  readonly retryAfterMs: number;
  /** Engines of the service, and those of them that this request could use. */
  readonly engines: { readonly listed: number; readonly usable: number };
}

/** What becomes of a waiting ticket now. */
export type Admission =
  | { readonly _tag: 'grant'; readonly candidate: EngineCandidate }
  /** `isCapped`: all endpoints that it could use are at their caps. */
  | { readonly _tag: 'wait'; readonly isCapped?: boolean }
  | Refusal;

/** State of a service's engines and queue at the turn of a ticket. */
export interface AdmissionContext {
  /** The usable engines. */
  readonly group: EngineGroup;
  /** Number of all engines that are listed. */
  readonly listed: number;
  /** Expected time until a slot is free, in ms. */
  readonly expectedWaitMs: number;
}

/** Collaborators of the admission; the scheduler updates them. */
export interface TicketAdmissionOptions {
  readonly limits: EndpointLimits;
  readonly slots: SlotCounter;
  readonly grantRatios: GrantRatios;
  readonly routeSizes: RouteMeanSizes;
  readonly meanEngineTimes: MeanEngineTimes;
  readonly reservations: RetryReservations;
  readonly coldSlowdown: ColdSlowdown;
  /** Selects the engines that a request may use by their versions. */
  readonly candidates: CandidateFilter;
}

/** Refuses a request that isn't queued; its gateway sends it to another endpoint. */
const refuseImmediately = (
  untilAllowedMs: number,
  engines: { readonly listed: number; readonly usable: number },
): Admission => ({
  _tag: 'refuse',
  reason: 'overload',
  expectedWaitMs: untilAllowedMs,
  retryAfterMs: untilAllowedMs,
  engines,
});

/** Decides whether a ticket gets a slot, waits or is refused. */
export class TicketAdmission {
  readonly #limits: EndpointLimits;

  readonly #slots: SlotCounter;

  readonly #grantRatios: GrantRatios;

  readonly #routeSizes: RouteMeanSizes;

  readonly #meanEngineTimes: MeanEngineTimes;

  readonly #reservations: RetryReservations;

  readonly #coldSlowdown: ColdSlowdown;

  readonly #candidates: CandidateFilter;

  constructor(options: TicketAdmissionOptions) {
    this.#limits = options.limits;
    this.#slots = options.slots;
    this.#grantRatios = options.grantRatios;
    this.#routeSizes = options.routeSizes;
    this.#meanEngineTimes = options.meanEngineTimes;
    this.#reservations = options.reservations;
    this.#coldSlowdown = options.coldSlowdown;
    this.#candidates = options.candidates;
  }

  /**
   * Decides on one ticket.
   *
   * @param queued - the ticket
   * @param context - engines and queue of its service
   * @param now - current time, in ms
   * @returns what becomes of it now
   */
  decide(
    queued: WaitingPlacement,
    { group, listed, expectedWaitMs }: AdmissionContext,
    now: number,
  ): Admission {
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
    const refuse = (reason: PlacementRefusalReason, expectedMs = expectedWaitMs): Refusal => ({
      _tag: 'refuse',
      reason,
      expectedWaitMs: expectedMs,
      retryAfterMs: this.#adviseRetry(ticket, expectedMs, now),
      engines,
    });
    const remainingMs = ticket.remainingMs - waitedMs;
    if (remainingMs < MINIMUM_REMAINING_MS) return refuse('deadline');
    if (usable.length === 0) {
      const untilIncludedMs = Math.min(...reachable.map(restMs));
      if (!Number.isFinite(untilIncludedMs)) return refuse('noEndpoint');
      if (ticket.immediate) return refuseImmediately(untilIncludedMs, engines);
      // It waits for the end of a rest as long as its deadline allows.
      return untilIncludedMs + group.forecast(ticket).firstTokenMs > remainingMs
        ? refuse('overload', untilIncludedMs)
        : { _tag: 'wait' };
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
      slotLimitOf: (engine) => group.slotLimit(engine, this.#slots.ofEngine(engine, now)),
      slowdownOf: ({ record }) =>
        this.#limits.coldCaps.isCold(endpointStartOf(record), now) ? this.#coldSlowdown.factor : 1,
    };
    if (ticket.hedge !== undefined) {
      const { hedge } = ticket;
      const context = {
        group,
        engines: this.#selectUnbound(open, now),
        hasQueue: expectedWaitMs > 0,
      };
      const hedged = admitHedge({ ...ticket, hedge }, context, limits);
      return hedged === undefined
        ? refuseImmediately(0, engines)
        : { _tag: 'grant', candidate: hedged };
    }
    const candidate =
      this.#chooseUnlimited(ticket, open, group, limits) ?? chooseEngine(ticket, open, limits);
    if (candidate !== undefined) return { _tag: 'grant', candidate };
    if (open.length === 0) {
      const untilAllowedMs = Math.min(...usable.map(limitWaitMs));
      if (ticket.immediate) return refuseImmediately(untilAllowedMs, engines);
      // Requests that only limited endpoints can take wait as long as their deadlines allow.
      const limitedWaitMs = expectedWaitMs + untilAllowedMs;
      return limitedWaitMs + group.forecast(ticket).firstTokenMs > remainingMs
        ? refuse('overload', limitedWaitMs)
        : { _tag: 'wait', isCapped: this.#isCapped(usable, now) };
    }
    if (ticket.immediate) return refuseImmediately(0, engines);
    const willMissTarget = expectedWaitMs + group.forecast(ticket).firstTokenMs > targetMs;
    if (!willMissTarget) return { _tag: 'wait' };
    // The target for the first token can't be met by waiting, so the request is placed late if its
    // deadline allows it.
    const lateCandidate = chooseEngine(ticket, open, {
      ...limits,
      targetMs: Number.POSITIVE_INFINITY,
    });
    if (lateCandidate !== undefined) return { _tag: 'grant', candidate: lateCandidate };
    const refusal = refuse('overload');
    const reservedMs = this.#reserveRetry(queued, group, expectedWaitMs, now);
    return reservedMs === undefined ? refusal : { ...refusal, retryAfterMs: reservedMs };
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
    if (!this.#limits.hasStatedLimits) return undefined;
    const { engineTimeMs } = group.forecast(ticket);
    if (this.#meanEngineTimes.isLong(ticket.service, engineTimeMs)) return undefined;
    const unlimited = engines.filter(
      ({ record }) => !this.#limits.statesLimit(endpointStartOf(record), limits.now),
    );
    return chooseEngine(ticket, unlimited, limits);
  }

  /** Selects the engines that state no limit and aren't cold. */
  #selectUnbound(engines: readonly EngineLoad[], now: number): readonly EngineLoad[] {
    return engines.filter(({ record }) => {
      const start = endpointStartOf(record);
      return !this.#limits.statesLimit(start, now) && !this.#limits.coldCaps.isCold(start, now);
    });
  }

  #isCapped(engines: readonly EngineLoad[], now: number): boolean {
    const { coldCaps } = this.#limits;
    return engines.some(({ record }) => coldCaps.msUntilAllowed(endpointStartOf(record), now) > 0);
  }

  #adviseRetry(ticket: PlacementTicket, expectedMs: number, now: number): number {
    const group = fairnessGroup(ticket, this.#routeSizes);
    return adviseRetryAfter(ticket.id, expectedMs, this.#grantRatios.grantRatio(group, now));
  }

  /**
   * Reserves engine time for the retry of a caller whose request finds no slot, and returns the time until then.
   * Callers retry once, so nothing is reserved for one that already did, or for one that can't wait until a
   * slot is expected to be free.
   */
  #reserveRetry(
    { ticket, arrivedAt }: WaitingPlacement,
    group: EngineGroup,
    expectedMs: number,
    now: number,
  ): number | undefined {
    const remainingMs = ticket.remainingMs - (now - arrivedAt);
    const latestMs = Math.min(MAXIMUM_RETRY_MS, remainingMs * LONGEST_RETRY_SHARE);
    const earliestMs = Math.max(MINIMUM_RETRY_MS, expectedMs, latestMs * EARLIEST_RETRY_SHARE);
    if (ticket.retriedAfterMs !== undefined || earliestMs >= latestMs) return undefined;
    const { engineTimeMs } = group.forecast(ticket);
    const period = { earliestMs, latestMs };
    return this.#reservations.reserve(ticket.service, engineTimeMs, period, now);
  }
}
