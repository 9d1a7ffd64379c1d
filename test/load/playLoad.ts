import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  CallerRetryDetector,
  EndpointLimits,
  PlacementScheduler,
} from '../../src/coordination/gateway/index.ts';
import { endpointStartOf, type EndpointRecord } from '../../src/state/gateway/index.ts';
import { Timeline } from './Timeline.ts';
import { boundOf } from './boundOf.ts';
import { EngineModel, type EngineShape } from './EngineModel.ts';
import {
  LONGEST_PAUSE_MS,
  makeLoad,
  type LoadBurst,
  type LoadRequest,
  type LoadTraffic,
  type RequestKind,
} from './loadPattern.ts';
import { LoadTally, type KindOutcome, type ServedRatio } from './LoadTally.ts';

/** A pattern of load with the engines that it meets. */
export interface LoadPlay extends LoadTraffic {
  readonly kinds: readonly RequestKind[];
  readonly engines: readonly EngineShape[];
  readonly durationMs: number;
  readonly bursts: readonly LoadBurst[];
  readonly seed: number;
}

/** What became of a play. */
export interface LoadOutcome {
  readonly kinds: ReadonlyMap<string, KindOutcome>;
  /** Worth earned as a share of the worth asked for. */
  readonly worth: number;
  /** Bound on `worth` of any schedule of the same load. */
  readonly bound: number;
  /** Worth less what refusals cost callers who waited for them, or came back for nothing. */
  readonly netWorth: number;
  /** The same for the worst two seconds of arrivals. */
  readonly worstWindow: number;
  /** Time in ms for which refused requests were held before they were. */
  readonly meanHeldMs: number;
  /** Requests that engines got while they stated a limit, as a share of what it allowed. */
  readonly limitUse: number;
  /** Share of the requests that got a whole answer. */
  readonly served: number;
  /** Share of the requests that were refused again after they came back. */
  readonly refusedAgain: number;
  /** Worth earned for the accounts that send as usual while another one sends more. */
  readonly neighbours: number;
  readonly worstAccount: ServedRatio;
  readonly worstKind: ServedRatio;
  readonly worstSize: ServedRatio;
}

interface Attempt {
  readonly request: LoadRequest;
  readonly number: number;
  readonly arrivedAt: number;
  engine: EngineModel | undefined;
  endpoint: string;
  sentAt: number;
  firstAt: number | undefined;
  lastAt: number;
  longestPauseMs: number;
  over: boolean;
  /** Engines that turned it away. */
  readonly avoid: string[];
  readonly remainingMs: number;
  readonly waitedBeforeMs: number;
}

const OWNER = 'gateway';
const SERVICE = 'model';
/** One way between a gateway, the scheduler and an engine. */
const HOP_MS = 1.5;
const TOKENS_PER_EVENT = 5;
const RETRIES = 1;
/** Engines that a request is offered to before it is lost. */
const OFFERS = 3;
/** Part of the time left that a caller waits at most before it comes back. */
const LONGEST_RETURN_SHARE = 1 / 3;
const RUN_OUT_MS = 20_000;
const SCHEDULER_TICK_MS = 25;
const MS_PER_SECOND = 1_000;

const pauseMsOf = ({ pauseMs }: RequestKind): number => pauseMs ?? LONGEST_PAUSE_MS;

const tokensPerEventOf = ({ tokensPerEvent }: RequestKind): number =>
  tokensPerEvent ?? TOKENS_PER_EVENT;

/** What a refusal costs its caller besides the answer: waiting for it, and having come back in vain. */
const costOfRefusal = ({ kind, weight }: LoadRequest, number: number, heldMs: number): number => {
  const freeMs = kind.targetMs / 8;
  const fullMs = 0.75 * kind.deadlineMs;
  const held = Math.min(1, Math.max(0, (heldMs - freeMs) / (fullMs - freeMs)));
  const again = number >= RETRIES ? 0.3 : 0;
  return kind.worth * weight * (held + again);
};

class Play {
  readonly #timeline = new Timeline();

  readonly #limits = new EndpointLimits();

  readonly #scheduler = new PlacementScheduler(this.#limits);

  readonly #records = new Map<string, EndpointRecord>();

  #sentWhileLimited = 0;

  readonly #patience = new CallerRetryDetector();

  readonly #engines = new Map<string, EngineModel>();

  readonly #attempts = new Map<string, Attempt>();

  readonly #options: LoadPlay;

  #tally = new LoadTally([]);

  #cost = 0;

  #heldMs = 0;

  #refusals = 0;

  constructor(options: LoadPlay) {
    this.#options = options;
    const records = options.engines.map((shape, index): EndpointRecord => {
      const id = `engine-${index}`;
      this.#engines.set(
        id,
        new EngineModel(shape, {
          onToken: (attempt, now, tokens) => this.#onToken(attempt, now, tokens),
          onEnd: (attempt, now) => this.#onEnd(attempt, now),
        }),
      );
      const record: EndpointRecord = {
        id,
        service: SERVICE,
        address: `127.0.0.1:${index + 1}`,
        failureDomain: 'a',
        version: 'v1',
        slots: shape.slots,
        state: 'ready',
        coldMs: 0,
        bornAt: 0,
      };
      this.#records.set(id, record);
      return record;
    });
    this.#scheduler.setEngines(records);
  }

  run(): LoadOutcome {
    const { kinds, durationMs, bursts, seed } = this.#options;
    const load = makeLoad(kinds, durationMs, bursts, xoroshiro128plus(seed), this.#options);
    this.#tally = new LoadTally(load);
    load.forEach((request) => {
      this.#timeline.add(request.at, (now) => this.#arrive(request, 0, now));
    });
    for (let at = 0; at < durationMs + RUN_OUT_MS; at += SCHEDULER_TICK_MS) {
      this.#timeline.add(at, (now) => this.#decide(now));
    }
    let event = this.#timeline.next();
    while (event !== undefined) {
      event.run(event.at);
      event = this.#timeline.next();
    }
    return this.#outcome(boundOf(load, this.#options.engines, durationMs));
  }

  #arrive(request: LoadRequest, number: number, now: number): void {
    const id = `${request.id}/${number}`;
    const remainingMs = request.patienceMs - (now - request.at);
    const attempt: Attempt = {
      request,
      number,
      arrivedAt: now,
      engine: undefined,
      endpoint: '',
      sentAt: 0,
      firstAt: undefined,
      lastAt: 0,
      longestPauseMs: 0,
      over: false,
      avoid: [],
      remainingMs,
      waitedBeforeMs: this.#patience.estimateWaitedMs(request.kind.name, remainingMs),
    };
    this.#attempts.set(id, attempt);
    this.#timeline.add(now + remainingMs, (at) => this.#giveUp(id, at));
    this.#followSilence(id, attempt, now);
    this.#timeline.add(now + HOP_MS, (at) => this.#request(id, attempt, at));
  }

  #request(id: string, attempt: Attempt, now: number): void {
    const { request, arrivedAt, remainingMs, waitedBeforeMs, avoid } = attempt;
    const { kind, promptTokens, expectedOutputTokens } = request;
    const waitedMs = now - arrivedAt;
    this.#scheduler.enqueue(
      OWNER,
      {
        id,
        service: SERVICE,
        route: kind.name,
        ...(request.account && {
          account: request.account.name,
          accountWeight: request.account.quota,
        }),
        accountPriority: 1,
        priority: kind.priority,
        promptTokens,
        outputTokens: expectedOutputTokens,
        quotaUnits: 0,
        targetMs: kind.targetMs - waitedBeforeMs - waitedMs,
        ...(waitedBeforeMs > 0 && { retriedAfterMs: waitedBeforeMs }),
        gapMs: pauseMsOf(kind),
        tokensPerEvent: tokensPerEventOf(kind),
        remainingMs: remainingMs - waitedMs,
        avoid: [...avoid],
      },
      now,
    );
    this.#decide(now);
  }

  #decide(now: number): void {
    this.#scheduler.schedule(now).forEach((decision) => {
      const { id } = decision.ticket;
      if (decision._tag === 'grant') {
        this.#timeline.add(now + 2 * HOP_MS, (at) => this.#send(id, decision.endpoint, at));
        return;
      }
      const waitMs = decision.retryAfterMs;
      this.#timeline.add(now + HOP_MS, (at) => this.#refused(id, waitMs, at));
    });
  }

  #send(id: string, endpoint: string, now: number): void {
    const attempt = this.#attempts.get(id);
    const engine = this.#engines.get(endpoint);
    if (attempt === undefined || attempt.over || engine === undefined) {
      this.#scheduler.recordEnd(id, { outcome: 'unused' }, now);
      return;
    }
    const fault = engine.faultAt(now);
    if (fault !== undefined) {
      this.#endAtOnce(id, attempt, endpoint, fault, now);
      return;
    }
    if (engine.limitAt(now) !== undefined) this.#sentWhileLimited += 1;
    attempt.engine = engine;
    attempt.endpoint = endpoint;
    attempt.sentAt = now;
    const { promptTokens, outputTokens } = attempt.request;
    const wasIdle = engine.nextAt === undefined;
    engine.add({ id, promptTokens, outputTokens }, now);
    if (wasIdle) this.#follow(engine);
  }

  /** A failure loses the request; what was turned away is offered to another engine. */
  #endAtOnce(
    id: string,
    attempt: Attempt,
    endpoint: string,
    outcome: 'failed' | 'turnedAway',
    now: number,
  ): void {
    this.#timeline.add(now + HOP_MS, (at) => {
      this.#scheduler.recordEnd(id, { outcome }, at);
      if (outcome === 'turnedAway' && attempt.avoid.length < OFFERS) {
        attempt.avoid.push(endpoint);
        this.#request(id, attempt, at);
        return;
      }
      this.#lose(attempt);
    });
  }

  #lose(attempt: Attempt): void {
    const lost = attempt;
    if (lost.over) return;
    lost.over = true;
    this.#kind(lost.request.kind.name).unfinished += 1;
  }

  #follow(engine: EngineModel): void {
    if (engine.nextAt === undefined) return;
    this.#timeline.add(engine.nextAt, (now) => {
      engine.step(now);
      this.#follow(engine);
    });
  }

  #onToken(id: string, now: number, tokens: number): void {
    const attempt = this.#attempts.get(id);
    if (attempt === undefined || attempt.over) return;
    if (attempt.firstAt === undefined) {
      attempt.firstAt = now;
      const firstTokenMs = now - attempt.sentAt;
      this.#timeline.add(now + HOP_MS, (at) => this.#onHead(id, attempt, firstTokenMs, at));
    } else if (tokens % tokensPerEventOf(attempt.request.kind) === 0) {
      attempt.longestPauseMs = Math.max(attempt.longestPauseMs, now - attempt.lastAt);
    } else {
      return;
    }
    attempt.lastAt = now;
  }

  #onHead(id: string, attempt: Attempt, firstTokenMs: number, now: number): void {
    this.#scheduler.recordFirstToken(id, firstTokenMs, now);
    const record = this.#records.get(attempt.endpoint);
    if (record === undefined) return;
    const answeredAt = now - HOP_MS;
    this.#limits.observe(
      {
        endpoint: endpointStartOf(record),
        requestsPerSecond: attempt.engine?.limitAt(answeredAt),
        sentAt: attempt.sentAt,
        answeredAt,
      },
      now,
    );
  }

  #onEnd(id: string, now: number): void {
    const attempt = this.#attempts.get(id);
    if (attempt === undefined || attempt.over) return;
    attempt.over = true;
    const { request, firstAt = now } = attempt;
    const { kind } = request;
    const isOnTime =
      firstAt - request.at <= kind.targetMs && attempt.longestPauseMs <= pauseMsOf(kind);
    const worth = (isOnTime ? kind.worth : kind.lateWorth) * request.weight;
    const outcome = this.#kind(kind.name);
    this.#tally.recordServed(request, worth);
    if (isOnTime) outcome.onTime += 1;
    else outcome.late += 1;
    if (!isOnTime && firstAt - request.at <= kind.targetMs) outcome.paused += 1;
    this.#timeline.add(now + HOP_MS, (at) => {
      this.#scheduler.recordEnd(
        id,
        {
          outcome: 'served',
          decodeMs: now - firstAt,
          outputTokens: request.outputTokens,
        },
        at,
      );
      this.#decide(at);
    });
  }

  #refused(id: string, waitMs: number, now: number): void {
    const attempt = this.#attempts.get(id);
    if (attempt === undefined || attempt.over) return;
    attempt.over = true;
    const { request, number, arrivedAt } = attempt;
    this.#heldMs += now - arrivedAt;
    this.#cost += costOfRefusal(request, number, now - arrivedAt);
    this.#refusals += 1;
    const leftMs = request.patienceMs - (now - request.at);
    if (number >= RETRIES) {
      const outcome = this.#kind(request.kind.name);
      outcome.refused += 1;
      outcome.refusedAgain += 1;
      return;
    }
    const backMs = Math.min(waitMs, leftMs * LONGEST_RETURN_SHARE);
    this.#timeline.add(now + backMs, (at) => this.#arrive(request, number + 1, at));
  }

  /** A caller disconnects when no event came for a time. */
  #followSilence(id: string, attempt: Attempt, now: number): void {
    const { silenceMs } = attempt.request.kind;
    if (silenceMs === undefined || attempt.over) return;
    const until = Math.max(attempt.arrivedAt, attempt.lastAt) + silenceMs;
    if (now >= until) this.#giveUp(id, now);
    else this.#timeline.add(until, (at) => this.#followSilence(id, attempt, at));
  }

  #giveUp(id: string, now: number): void {
    const attempt = this.#attempts.get(id);
    if (attempt === undefined || attempt.over) return;
    attempt.over = true;
    attempt.engine?.cancel(id);
    this.#scheduler.withdraw(id);
    this.#scheduler.recordEnd(id, { outcome: 'cancelled' }, now);
    this.#kind(attempt.request.kind.name).unfinished += 1;
  }

  #kind(name: string): KindOutcome {
    return this.#tally.kind(name);
  }

  /** Requests that the stated limits allowed over their whole time. */
  #allowedByLimits(): number {
    return this.#options.engines.reduce(
      (sum, { limit }) =>
        limit === undefined
          ? sum
          : sum + (limit.requestsPerSecond * (limit.toMs - limit.fromMs)) / MS_PER_SECOND,
      0,
    );
  }

  #outcome(bound: number): LoadOutcome {
    const all = [...this.#tally.kinds.values()];
    const sum = (pick: (outcome: KindOutcome) => number): number =>
      all.reduce((total, outcome) => total + pick(outcome), 0);
    return {
      kinds: this.#tally.kinds,
      worth: sum(({ worth }) => worth) / sum(({ owed }) => owed),
      bound,
      netWorth: (sum(({ worth }) => worth) - this.#cost) / sum(({ owed }) => owed),
      worstWindow: this.#tally.worstWindow(),
      meanHeldMs: this.#heldMs / Math.max(1, this.#refusals),
      served: sum(({ onTime, late }) => onTime + late) / sum(({ asked }) => asked),
      refusedAgain: sum(({ refusedAgain }) => refusedAgain) / sum(({ asked }) => asked),
      neighbours: this.#tally.neighbours(this.#options.bursts),
      worstAccount: this.#tally.worstAccount(),
      worstKind: this.#tally.worstKind(),
      worstSize: this.#tally.worstSize(),
      limitUse: this.#sentWhileLimited / Math.max(1, this.#allowedByLimits()),
    };
  }
}

/** Plays a pattern of load against the scheduler in virtual time. */
export const playLoad = (play: LoadPlay): LoadOutcome => new Play(play).run();
