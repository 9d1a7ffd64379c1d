import { eraOf } from '../../../protocol/gateway/index.ts';
import type {
  RolloutReport,
  RolloutStep,
  VersionObservation,
} from '../../../protocol/peer/RolloutMessages.ts';
import type { GatewayBounds, RolloutOrder, RolloutState } from '../../../state/gateway/index.ts';
import { decideRolloutStep, type RolloutDecision } from './decideRolloutStep.ts';
import { RolloutEvidence, type ResponseCounts } from './RolloutEvidence.ts';
import { VersionExposure, type SentCounts } from './VersionExposure.ts';

/** A service whose roll-out is driven. */
export interface RolloutDriverOptions {
  readonly service: string;
  readonly isEngine: boolean;
  readonly bounds: NonNullable<GatewayBounds['rollouts']>;
  /** When the second version appeared, in ms, monotonic. */
  readonly mixedSince: number;
  /** Returns the time since the first start of an endpoint of a version, by the time of day; undefined if unknown. */
  readonly startedMsAgo: (version: string) => number | undefined;
  /** Predicts the time of a request at an endpoint of mean speed, in any unit that stays the same. */
  readonly predictMs: (promptTokens: number, outputTokens: number) => number;
}

/** What the driver learns from the process at each decision. */
export interface RolloutSurroundings {
  /** Incarnations of the gateways that are alive. */
  readonly members: readonly string[];
  /** Slots of the ready endpoints, by version. */
  readonly slotsByVersion: ReadonlyMap<string, number>;
  /** The version that served before the second one appeared. */
  readonly baseVersion: string | undefined;
  /** Whether the store answered the last call, lately. */
  readonly isStoreReached: boolean;
}

/** What the driver decided. */
export interface RolloutOutcome {
  readonly step: RolloutStep;
  /** Why the step is in force. */
  readonly detail: string;
  /** State that the store should hold at the revision that the driver has read; undefined if it does. */
  readonly write:
    | { readonly state: RolloutState; readonly target: string; readonly revision: number }
    | undefined;
  readonly orderAgeMs: number | undefined;
  readonly sent: SentCounts | undefined;
  readonly responses: ResponseCounts;
}

/** Part of the permitted exposure that the trial uses; the rest is for the first moments under full load. */
const TRIAL_PART = 0.5;
/** Part of the permitted exposure, and of the slack, from which the target gets nothing until others catch up. */
const EXPOSURE_GUARD_PART = 0.8;
const SLACK_GUARD_PART = 0.4;
/** Bounds of a route's share, in units of the mean one, and responses from which shares differ by route. */
const ROUTE_SHARE_FACTORS = { minimum: 0.3, maximum: 5 } as const;
const MINIMUM_RESPONSES_FOR_ROUTE_SHARES = 200;
/**
 * Time from an order to the first sight of the endpoints that are started for it: by the time of day of their start
 * and so much more, within bounds that a clock which was set can't leave; otherwise an assumed time.
 */
const START_MS = { beforeStart: 500, minimum: 500, maximum: 4_000, assumed: 1_500 } as const;
/** Differences between times of day above which they aren't used. */
const MAXIMUM_START_MS = 10_000;
/** Age of an order that a waiting call of the store reports. */
const WATCH_LATENCY_MS = 300;
/** Part of the old endpoints' slots that the target's must have to get all requests. */
const MINIMUM_CAPACITY_PART = 0.7;

/** Observations that are kept until the order is read. */
const MAXIMUM_EARLY_OBSERVATIONS = 20_000;
const FINAL = 'the store holds a final state';
const EARLIER = 'the order in the store is of an earlier roll-out';
const LOST = 'the store has gone back to before the final state';

type FinalState = Exclude<RolloutState, 'running'>;

/** What the store holds for the service. */
type OrderView =
  | { readonly _tag: 'unread' }
  | { readonly _tag: 'none'; readonly at: number }
  | { readonly _tag: 'read'; readonly order: RolloutOrder };

const missingCapacity = (
  target: string,
  { slotsByVersion }: RolloutSurroundings,
): string | undefined => {
  const slots = slotsByVersion.get(target) ?? 0;
  const old = [...slotsByVersion.values()].reduce((sum, value) => sum + value, 0) - slots;
  return slots < MINIMUM_CAPACITY_PART * old
    ? `${slots} slots of the target for ${old} old ones`
    : undefined;
};

const stateToWrite = (
  decision: RolloutDecision,
  stored: RolloutState | undefined,
): RolloutState | undefined => {
  if (decision._tag === 'finish') return decision.state;
  return stored === undefined ? 'running' : undefined;
};

/** Drives the roll-out of one service, in the gateway that schedules for all. */
export class RolloutDriver {
  readonly #options: RolloutDriverOptions;

  readonly #exposure = new VersionExposure();

  /** Highest number of the observations of each gateway, since some are sent again to a new driver. */
  readonly #lastNumbers = new Map<string, number>();

  readonly #condemned = new Set<string>();

  #view: OrderView = { _tag: 'unread' };

  /** When the order was given, in ms, monotonic; never later than it really was. */
  #orderedAt = Number.POSITIVE_INFINITY;

  #cutoverAt: number | undefined;

  /** The last final state that the store held for the target of its order, and the era of the store. */
  #final: { readonly target: string; readonly state: FinalState; readonly era: number } | undefined;

  #evidence: RolloutEvidence;

  #early: readonly { readonly observation: VersionObservation; readonly at: number }[] = [];

  constructor(options: RolloutDriverOptions) {
    this.#options = options;
    this.#evidence = new RolloutEvidence(options.isEngine);
  }

  /** The order that was last read; undefined if there is none. */
  get order(): RolloutOrder | undefined {
    return this.#view._tag === 'read' ? this.#view.order : undefined;
  }

  /**
   * Takes what the store says. An older revision than the one known is ignored.
   *
   * @param order - the order; undefined if the store holds none
   * @param isWatched - whether a waiting call reported it at once, so that it is new
   * @param now - present time in ms, monotonic
   */
  observeOrder(order: RolloutOrder | undefined, isWatched: boolean, now: number): void {
    const before = this.#view;
    if (order === undefined) {
      this.#view = { _tag: 'none', at: now };
      return;
    }
    if (before._tag === 'read' && before.order.revision > order.revision) return;
    this.#view = { _tag: 'read', order };
    const { target, status, revision } = order;
    if (status !== undefined && status.target === target && status.state !== 'running')
      this.#final = { target, state: status.state, era: eraOf(revision) };
    if (before._tag === 'read' && before.order.target === order.target) return;
    this.#begin(now - this.#estimateAgeMs(order, before, isWatched, now));
  }

  /**
   * Takes the report of a gateway.
   *
   * @param from - the gateway's incarnation
   * @param report - what it sent, and what came of it
   * @param now - present time in ms, monotonic
   */
  observeReport(from: string, report: RolloutReport, now: number): void {
    this.#exposure.observe(from, report, now);
    const { order: told, condemned, observations } = report;
    condemned.forEach((version) => this.#condemned.add(version));
    if (told !== undefined && told.target === this.order?.target)
      this.#orderedAt = Math.min(this.#orderedAt, now - told.ageMs);
    const last = this.#lastNumbers.get(from) ?? Number.NEGATIVE_INFINITY;
    const fresh = observations.filter(({ number }) => number > last);
    this.#lastNumbers.set(from, Math.max(last, ...fresh.map(({ number }) => number)));
    this.#record(fresh.map((observation) => ({ observation, at: now - observation.ageMs })));
  }

  /**
   * Decides what gateways may send, and what is to be written.
   *
   * @param surroundings - what the process knows
   * @param now - present time in ms, monotonic
   */
  decide(surroundings: RolloutSurroundings, now: number): RolloutOutcome {
    const { service } = this.#options;
    const view = this.#view;
    const base = { orderAgeMs: undefined, sent: undefined, responses: this.#evidence.counts };
    if (view._tag === 'unread') {
      const step = { _tag: 'unread', service, share: this.#trialShare } as const;
      return { ...base, step, detail: 'the store has not answered yet', write: undefined };
    }
    if (view._tag === 'none') {
      const step = { _tag: 'unordered', service } as const;
      return { ...base, step, detail: 'the store holds no order', write: undefined };
    }
    const { order } = view;
    const { target, status } = order;
    const state = status?.target === target ? status.state : undefined;
    const lost = this.#findLost(order);
    const final = lost ?? (state === 'running' ? undefined : state);
    if (final !== undefined) {
      // Nothing reverses a final state. One for another version, or for the one that served before the present
      // second version appeared, is of an earlier roll-out.
      const isEarlier =
        !surroundings.slotsByVersion.has(target) || surroundings.baseVersion === target;
      const write = lost && { state: lost, target, revision: order.revision };
      const detail = lost === undefined ? FINAL : LOST;
      return isEarlier
        ? { ...base, step: { _tag: 'unordered', service }, detail: EARLIER, write }
        : { ...base, step: { _tag: final, service, target }, detail, write };
    }
    this.#evidence.advance(now);
    const ageMs = now - this.#orderedAt;
    const decision = decideRolloutStep({
      isEngine: this.#options.isEngine,
      durationMs: order.durationMs,
      ageMs,
      cutoverForMs: this.#cutoverAt === undefined ? undefined : now - this.#cutoverAt,
      finding: this.#evidence.finding,
      isCondemned: this.#condemned.has(target),
      missing: this.#evidence.missing() ?? missingCapacity(target, surroundings),
      isDrained: this.#exposure.isDrained(target, surroundings.members, now),
      isStoreReached: surroundings.isStoreReached,
    });
    if (decision._tag === 'cutOver') this.#cutoverAt = now;
    const writes = stateToWrite(decision, state);
    if (writes === 'rolledBack') this.#condemned.add(target);
    return {
      step: this.#stepFor(target, writes, ageMs),
      detail: decision.detail,
      write: writes && { state: writes, target, revision: order.revision },
      orderAgeMs: ageMs,
      sent: this.#exposure.sent(target),
      responses: this.#evidence.counts,
    };
  }

  /** Returns the final state that an order had before the store went back to an older copy. */
  #findLost({ target, status, revision }: RolloutOrder): FinalState | undefined {
    const final = this.#final;
    const isHeld = status?.target === target && status.state !== 'running';
    if (final === undefined || isHeld || final.target !== target) return undefined;
    return eraOf(revision) > final.era ? final.state : undefined;
  }

  get #trialShare(): number {
    return Math.min(1, TRIAL_PART * this.#options.bounds.exposeShare);
  }

  #begin(orderedAt: number): void {
    this.#orderedAt = orderedAt;
    this.#cutoverAt = undefined;
    this.#evidence = new RolloutEvidence(this.#options.isEngine);
    const early = this.#early;
    this.#early = [];
    this.#record(early);
  }

  /** An order that a list shows may be as old as the endpoints that were started for it, or a little older. */
  #estimateAgeMs(
    { target }: RolloutOrder,
    before: OrderView,
    isWatched: boolean,
    now: number,
  ): number {
    if (isWatched) return WATCH_LATENCY_MS;
    const sinceMixedMs = now - this.#options.mixedSince + this.#startMs(target, now);
    return before._tag === 'none' ? Math.min(sinceMixedMs, now - before.at) : sinceMixedMs;
  }

  #startMs(target: string, now: number): number {
    const startedMsAgo = this.#options.startedMsAgo(target);
    if (startedMsAgo === undefined) return START_MS.assumed;
    const beforeSight = startedMsAgo - (now - this.#options.mixedSince);
    if (beforeSight < 0 || beforeSight > MAXIMUM_START_MS) return START_MS.assumed;
    const { beforeStart, minimum, maximum } = START_MS;
    return Math.min(maximum, Math.max(minimum, beforeSight + beforeStart));
  }

  /** Observations that arrive before the order is read are kept, as a new driver gets those of its predecessor. */
  #record(
    items: readonly { readonly observation: VersionObservation; readonly at: number }[],
  ): void {
    const target = this.order?.target;
    if (target === undefined) {
      this.#early = [...this.#early, ...items].slice(-MAXIMUM_EARLY_OBSERVATIONS);
      return;
    }
    this.#evidence.record(
      items.map(({ observation, at }) => ({
        route: observation.route,
        endpoint: observation.endpoint,
        isNew: observation.version === target,
        outcome: observation.outcome,
        totalMs: observation.totalMs,
        predictedMs: this.#options.predictMs(observation.promptTokens, observation.outputTokens),
        isCold: observation.cold ?? false,
        at,
      })),
    );
  }

  #stepFor(target: string, writes: RolloutState | undefined, orderAgeMs: number): RolloutStep {
    const { service } = this.#options;
    if (writes === 'rolledBack') return { _tag: 'rolledBack', service, target };
    if (this.#cutoverAt !== undefined) return { _tag: 'cutover', service, target, orderAgeMs };
    const { exposeShare, exposeSlack } = this.#options.bounds;
    const sent = this.#exposure.sent(target);
    const limit =
      EXPOSURE_GUARD_PART * exposeShare * (sent.old + sent.new) + SLACK_GUARD_PART * exposeSlack;
    if (sent.new >= limit)
      return { _tag: 'trial', service, target, share: 0, routeShares: [], orderAgeMs };
    const share = this.#trialShare;
    return {
      _tag: 'trial',
      service,
      target,
      share,
      routeShares: this.#routeShares(share),
      orderAgeMs,
    };
  }

  /** Routes with fewer requests get a larger share, so that each route has its evidence in time. */
  #routeShares(share: number): { readonly route: string; readonly share: number }[] {
    const routes = [...this.#evidence.countsByRoute()];
    const total = routes.reduce((sum, [, counts]) => sum + counts.old, 0);
    if (total < MINIMUM_RESPONSES_FOR_ROUTE_SHARES) return [];
    return routes.map(([route, counts]) => {
      const factor = total / (routes.length * Math.max(1, counts.old));
      const { minimum, maximum } = ROUTE_SHARE_FACTORS;
      return { route, share: Math.min(1, share * Math.min(maximum, Math.max(minimum, factor))) };
    });
  }
}
