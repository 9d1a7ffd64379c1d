import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Action } from '../../src/coordination/Action.ts';
import { PoolScheduler } from '../../src/coordination/scheduling/index.ts';
import type { CallRecord, Reservation } from '../../src/protocol/peer/PeerMessage.ts';
import type { EntrySettings } from '../../src/state/EntrySettings.ts';
import { poolBundle, poolRouting, TIMING } from '../../test/fakes/schedulingInputs.ts';
import { ModelEngine, type EngineJob } from './ModelEngine.ts';

const STEP_MS = 5;
const TICK_MS = 20;
const MAXIMUM_RETRIES = 3;
const HOME = 'home';
const NOTHING = { promptTokens: 0, cachedTokens: 0, outputTokens: 0 };

/** One tier's or account's traffic. Lengths are spread log-evenly between the bounds. */
export interface Stream {
  readonly tierRank: number;
  readonly account: string;
  readonly perSecond: (atMs: number) => number;
  readonly promptTokens: readonly [number, number];
  readonly outputTokens: readonly [number, number];
  /** Deadline: a fixed time and so many times the length's time on a middling endpoint. */
  readonly deadlineMs: number;
  readonly deadlineStretch: number;
  /** Number of common prompt beginnings; 0 for none. */
  readonly prefixGroups: number;
}

export interface PolicyRun {
  readonly seed: number;
  readonly policy: EntrySettings['policy'];
  /** Per endpoint: slots and true rates; the configuration states the same rates for all. */
  readonly engines: readonly { slots: number; prefill: number; decode: number }[];
  readonly streams: readonly Stream[];
  readonly durationMs: number;
  readonly retries?: boolean;
  readonly slowAt?: { readonly engine: number; readonly fromMs: number; readonly toMs: number };
}

export interface Ended {
  readonly stream: number;
  readonly arrivedAt: number;
  readonly endedAt: number;
  readonly result: 'good' | 'late' | 'refused';
  readonly endpoint: number;
}

export interface PolicyResult {
  readonly ended: readonly Ended[];
  readonly wastedPrefill: number;
  readonly inversions: number;
  readonly suspensions: number;
  readonly schedulerMs: number;
}

/** Plays a seeded load against one scheduler and model engines. */
export function runPolicy(run: PolicyRun): PolicyResult {
  const random = xoroshiro128plus(run.seed);
  const uniform = () => uniformFloat64(random);
  const between = ([low, high]: readonly [number, number]) =>
    Math.round(low * (high / low) ** uniform());
  const bundle = poolBundle(
    run.engines.map(({ slots }) => ({
      slots,
      prefillTokensPerSecond: 4_000,
      decodeTokensPerSecond: 50,
    })),
  );
  const engines = bundle.endpoints.map((endpoint, index) => {
    const { prefill, decode } = run.engines[index]!;
    return new ModelEngine(endpoint, prefill / 1_000, decode / 1_000);
  });
  const scheduler = new PoolScheduler({ pool: 'p', policy: run.policy, timing: TIMING });
  const open = new Map<
    string,
    { reservation: Reservation; stream: number; at: number; due: number; tries: number }
  >();
  const retries: { at: number; id: string; stream: number; firstAt: number; tries: number }[] = [];
  const ended: Ended[] = [];
  let [wasted, inversions, suspensions, count, schedulerMs] = [0, 0, 0, 0, 0];

  const timed = (call: () => Action[]): Action[] => {
    const startedAt = performance.now();
    const actions = call();
    schedulerMs += performance.now() - startedAt;
    return actions;
  };
  const finish = (id: string, result: Ended['result'], endpoint: number, now: number): void => {
    const { stream, at } = open.get(id)!;
    open.delete(id);
    ended.push({ stream, arrivedAt: at, endedAt: now, result, endpoint });
  };
  const release = (
    index: number,
    { reservation, cachedTokens, startedAt, firstTokenAt }: EngineJob,
    result: CallRecord['result'],
    now: number,
  ): void => {
    const { id, promptTokens, outputTokens, route } = reservation;
    const usage = result === 'completed' ? { promptTokens, cachedTokens, outputTokens } : NOTHING;
    const record: CallRecord = {
      result,
      firstTokenMs: (firstTokenAt ?? now) - startedAt,
      totalMs: now - startedAt,
      connectFailure: false,
      ...usage,
    };
    const place = { endpoint: `e${index}`, version: 'v1', pool: 'p', route };
    carryOut(
      timed(() => scheduler.release(HOME, { _tag: 'release', id, ...place, record }, now)),
      now,
    );
  };
  function carryOut(actions: readonly Action[], now: number): void {
    for (const action of actions) {
      if (action._tag === 'decide' && action.decision._tag === 'refused') {
        const { reason, detail, lowerTierRunning, lowerTierWaiting } = action.decision;
        const isShed = reason === 'overloaded' || !detail.startsWith('needs');
        if (isShed && lowerTierRunning + lowerTierWaiting > 0) inversions += 1;
      }
      if (action._tag === 'send') receive(action.message, now);
    }
  }
  function receive(message: Extract<Action, { _tag: 'send' }>['message'], now: number): void {
    switch (message._tag) {
      case 'granted':
        message.grants.forEach(({ id, endpoint }) =>
          engines[Number(endpoint.slice(1))]!.start(open.get(id)!.reservation, now),
        );
        break;
      case 'refused': {
        const known = open.get(message.id);
        if (known === undefined) break;
        const at = now + message.retryAfterMs;
        if (run.retries === true && known.tries < MAXIMUM_RETRIES) {
          const { stream, at: firstAt, tries } = known;
          retries.push({ at, id: message.id, stream, firstAt, tries: tries + 1 });
        }
        finish(message.id, 'refused', -1, now);
        break;
      }
      case 'suspend': {
        suspensions += 1;
        const engine = engines.find(({ running }) => running.has(message.id));
        if (engine === undefined) break;
        engine.parked.set(message.id, engine.running.get(message.id)!);
        engine.running.delete(message.id);
        carryOut(
          timed(() => scheduler.confirmSuspension(HOME, message.id, now)),
          now,
        );
        break;
      }
      case 'resume': {
        const engine = engines.find(({ parked }) => parked.has(message.id))!;
        engine.running.set(message.id, engine.parked.get(message.id)!);
        engine.parked.delete(message.id);
        break;
      }
      default:
    }
  }
  const arrive = (index: number, now: number, firstAt: number, tries: number): void => {
    const stream = run.streams[index]!;
    const promptTokens = between(stream.promptTokens);
    const outputTokens = between(stream.outputTokens);
    const ownMs = promptTokens / 4 + outputTokens * 20;
    const remainingMs = stream.deadlineMs + stream.deadlineStretch * ownMs;
    const group = Math.floor(uniform() * stream.prefixGroups);
    const shared = stream.prefixGroups > 0 ? Math.floor((0.8 * promptTokens) / 64) : 0;
    count += 1;
    const reservation: Reservation = {
      id: `r${count}`,
      pool: 'p',
      route: `s${index}`,
      tierRank: stream.tierRank,
      account: stream.account,
      promptTokens,
      outputTokens,
      remainingMs,
      idempotent: true,
      suspendable: true,
      prefixes: Array.from({ length: Math.min(32, shared) }, (_, at) => `${index}/${group}/${at}`),
      avoid: [],
    };
    const due = now + remainingMs;
    open.set(reservation.id, { reservation, stream: index, at: firstAt, due, tries });
    carryOut(
      timed(() => scheduler.reserve(HOME, [reservation], now)),
      now,
    );
  };

  scheduler.configure({ bundle, routing: poolRouting(), leaving: new Set() }, 0);
  for (let now = 0; now < run.durationMs + 30_000; now += STEP_MS) {
    engines.forEach((engine, index) => work(engine, index, now));
    for (const [index, stream] of run.streams.entries()) {
      const expected = now < run.durationMs ? (stream.perSecond(now) * STEP_MS) / 1_000 : 0;
      const arrivals = Math.floor(expected) + (uniform() < expected % 1 ? 1 : 0);
      for (let each = 0; each < arrivals; each += 1) arrive(index, now, now, 0);
    }
    const due = retries.filter(({ at }) => at <= now);
    due.forEach((retry) => {
      retries.splice(retries.indexOf(retry), 1);
      arrive(retry.stream, now, retry.firstAt, retry.tries);
    });
    if (now % TICK_MS === 0)
      carryOut(
        timed(() => scheduler.tick(now)),
        now,
      );
    if (now % 1_000 === 0) confirm(now);
  }
  const prefilled = engines.reduce((sum, { prefilledTokens }) => sum + prefilledTokens, 0);
  const wastedPrefill = wasted / Math.max(1, prefilled);
  return { ended, wastedPrefill, inversions, suspensions, schedulerMs };

  function work(engine: ModelEngine, index: number, now: number): void {
    if (run.slowAt?.engine === index) {
      const isSlow = now >= run.slowAt.fromMs && now < run.slowAt.toMs;
      engine.setSpeed(isSlow ? 0.1 : 1);
    }
    engine.advance(now, STEP_MS).forEach((job) => {
      const isLate = now > open.get(job.reservation.id)!.due;
      finish(job.reservation.id, isLate ? 'late' : 'good', index, now);
      release(index, job, 'completed', now);
    });
    [...engine.running.values(), ...engine.parked.values()].forEach((job) => {
      const { id, promptTokens } = job.reservation;
      if (now < open.get(id)!.due) return;
      wasted += promptTokens - job.cachedTokens - job.prefillLeft;
      engine.running.delete(id);
      engine.parked.delete(id);
      finish(id, 'late', index, now);
      release(index, job, 'cancelled', now);
    });
  }

  function confirm(now: number): void {
    const grants = engines.flatMap(({ running, parked, endpoint }) =>
      [...running.values(), ...parked.values()].map(({ reservation }) => ({
        grant: {
          id: reservation.id,
          pool: 'p',
          endpoint: endpoint.name,
          version: 'v1',
          estimateMs: 0,
        },
        reservation,
      })),
    );
    carryOut(
      timed(() => scheduler.adoptGrants(HOME, { _tag: 'inFlight', pool: 'p', grants }, now)),
      now,
    );
  }
}
