import * as Effect from 'effect/Effect';
import type { Action } from '../coordination/Action.ts';
import { PoolScheduler } from '../coordination/scheduling/index.ts';
import type { EndpointClient } from '../protocol/engine/EndpointClient.ts';
import type { PeerMessage } from '../protocol/peer/PeerMessage.ts';
import type { Bundle } from '../state/Bundle.ts';
import type { Endpoint } from '../state/Endpoint.ts';
import type { Routing } from '../state/Routing.ts';
import type { Settings } from '../state/Settings.ts';

/** A scheduler that heard nothing for this long stops asking its endpoints for load. */
const IDLE_MS = 10_000;

type Finding = Extract<PeerMessage, { _tag: 'voidReply' }>['finding'];

interface ScheduledPool {
  readonly scheduler: PoolScheduler;
  readonly cacheSequences: Map<string, number>;
  usedAt: number;
  polledAt: number;
}

/** What the schedulers of this process go by. */
export interface SchedulingInput {
  readonly bundle: Bundle;
  readonly routings: ReadonlyMap<string, Routing>;
  readonly leaving: ReadonlySet<string>;
}

/** The pools that this process has been asked to schedule, each made when first asked for. */
export class PoolSchedulers {
  readonly #pools = new Map<string, ScheduledPool>();

  #input: SchedulingInput | undefined;

  /**
   * @param settings - policy and times
   * @param client - the way to the endpoints' load reports
   * @param clock - gives the present monotonic time, ms
   */
  constructor(
    private readonly settings: Settings,
    private readonly client: EndpointClient,
    private readonly clock: () => number,
  ) {}

  /**
   * Takes over configuration, routing and leaving endpoints.
   *
   * @param input - what is in force now
   * @param now - present monotonic time, ms
   * @returns actions to carry out
   */
  configure(input: SchedulingInput, now: number): Action[] {
    this.#input = input;
    return [...this.#pools].flatMap(([pool, { scheduler }]) =>
      this.#configure(pool, scheduler, now),
    );
  }

  /**
   * Hands a message to the pool's scheduler.
   *
   * @param pool - the pool's name
   * @param now - present monotonic time, ms
   * @param use - what to do with the scheduler
   * @returns actions to carry out; none where the pool isn't in the bundle
   */
  useScheduler(pool: string, now: number, use: (scheduler: PoolScheduler) => Action[]): Action[] {
    const known = this.#pools.get(pool);
    const scheduled = known ?? this.#create(pool, now);
    if (scheduled === undefined) return [];
    scheduled.usedAt = now;
    const configured = known === undefined ? this.#configure(pool, scheduled.scheduler, now) : [];
    return [...configured, ...use(scheduled.scheduler)];
  }

  /**
   * Hands a message that names no pool to all schedulers.
   *
   * @param use - what to do with each
   * @returns actions to carry out
   */
  useAllSchedulers(use: (scheduler: PoolScheduler) => Action[]): Action[] {
    return [...this.#pools.values()].flatMap(({ scheduler }) => use(scheduler));
  }

  /**
   * Tells what this process's schedulers know of a request whose home may be gone.
   *
   * @param id - the request's id
   * @param homeHeardRecently - whether its home may still dispatch
   * @returns the strongest finding; an id found is void from then on unless its home may be alive
   */
  findRequest(id: string, homeHeardRecently: boolean): Finding {
    if (homeHeardRecently) return 'home_alive';
    const schedulers = [...this.#pools.values()].map(({ scheduler }) => scheduler);
    const findings = schedulers.map((scheduler) => scheduler.finding(id, homeHeardRecently));
    schedulers.forEach((scheduler) => scheduler.voidId(id));
    if (findings.includes('granted')) return 'granted';
    return findings.includes('waiting') ? 'waiting' : 'nothing';
  }

  /**
   * Lets each scheduler act on passed time, and asks endpoints in use for load and cache events.
   *
   * @param now - present monotonic time, ms
   * @returns actions to carry out
   */
  tick(now: number): Action[] {
    this.#pools.forEach((scheduled, pool) => this.#poll(pool, scheduled, now));
    return this.useAllSchedulers((scheduler) => scheduler.tick(now));
  }

  /** @returns whether any request waits or runs in a pool that this process schedules */
  isBusy(): boolean {
    return [...this.#pools.values()].some(({ scheduler }) => scheduler.isBusy());
  }

  #create(pool: string, now: number): ScheduledPool | undefined {
    if (this.#input?.routings.has(pool) !== true) return undefined;
    const { policy, timing } = this.settings;
    const scheduler = new PoolScheduler({ pool, policy, timing });
    const scheduled = { scheduler, cacheSequences: new Map(), usedAt: now, polledAt: 0 };
    this.#pools.set(pool, scheduled);
    return scheduled;
  }

  #configure(pool: string, scheduler: PoolScheduler, now: number): Action[] {
    const routing = this.#input?.routings.get(pool);
    if (this.#input === undefined || routing === undefined) return [];
    const { bundle, leaving } = this.#input;
    return scheduler.configure({ bundle, routing, leaving }, now);
  }

  #poll(pool: string, scheduled: ScheduledPool, now: number): void {
    const isDue = now - scheduled.polledAt >= this.settings.timing.loadReportIntervalMs;
    if (!isDue || now - scheduled.usedAt > IDLE_MS || this.#input === undefined) return;
    const { bundle } = this.#input;
    const isModel = bundle.pools.some(({ name, kind }) => name === pool && kind._tag === 'model');
    if (!isModel) return;
    Object.assign(scheduled, { polledAt: now });
    bundle.endpoints
      .filter((endpoint) => endpoint.pool === pool)
      .forEach((endpoint) => this.#pollEndpoint(scheduled, endpoint));
  }

  #pollEndpoint({ scheduler, cacheSequences }: ScheduledPool, { name, address }: Endpoint): void {
    const after = cacheSequences.get(name) ?? 0;
    const poll = Effect.all([
      this.client.load(address),
      this.client.cacheEvents(address, after),
    ]).pipe(
      Effect.tap(([report, events]) =>
        Effect.sync(() => {
          if (report !== undefined) scheduler.loadReport(name, report, this.clock());
          if (events === undefined || events.length === 0) return;
          cacheSequences.set(name, events.at(-1)?.sequence ?? after);
          scheduler.cacheEvents(name, events);
        }),
      ),
    );
    Effect.runFork(poll);
  }
}
