import * as Effect from 'effect/Effect';
import type { Action } from '../coordination/Action.ts';
import { PoolScheduler } from '../coordination/scheduling/index.ts';
import type { EndpointClient } from '../protocol/engine/EndpointClient.ts';
import type { PeerMessage } from '../protocol/peer/PeerMessage.ts';
import type { Bundle } from '../state/Bundle.ts';
import type { Endpoint } from '../state/Endpoint.ts';
import type { PoolRouting } from '../state/PoolRouting.ts';
import type { EntrySettings } from '../state/EntrySettings.ts';

/** A scheduler that has received no message for this long stops polling its endpoints. */
const LOAD_POLL_IDLE_TIMEOUT_MS = 10_000;

type Finding = Extract<PeerMessage, { _tag: 'voidReply' }>['finding'];

interface ScheduledPool {
  readonly scheduler: PoolScheduler;
  /** Sequence number of the last cache event read, by endpoint name. */
  readonly lastCacheSequences: Map<string, number>;
  /** Monotonic time of the last message for the pool, in ms. */
  usedAt: number;
  /** Monotonic time of the last poll of its endpoints, in ms. */
  polledAt: number;
}

/** Configuration, routings and leaving endpoints that the schedulers of this process apply. */
export interface SchedulingInput {
  readonly bundle: Bundle;
  readonly routings: ReadonlyMap<string, PoolRouting>;
  readonly leaving: ReadonlySet<string>;
}

/** Schedulers of the pools that this process schedules, each created at the first message for its pool. */
export class PoolSchedulers {
  readonly #pools = new Map<string, ScheduledPool>();

  #input: SchedulingInput | undefined;

  /**
   * @param settings - scheduling policy and timing
   * @param client - reads load reports and cache events from endpoints
   * @param clock - returns the present monotonic time in ms
   */
  constructor(
    private readonly settings: EntrySettings,
    private readonly client: EndpointClient,
    private readonly clock: () => number,
  ) {}

  /**
   * Applies a changed configuration, routing or set of leaving endpoints to all schedulers.
   *
   * @param input - the values now in force
   * @param now - present monotonic time in ms
   * @returns actions to execute
   */
  configure(input: SchedulingInput, now: number): Action[] {
    this.#input = input;
    return [...this.#pools].flatMap(([pool, { scheduler }]) =>
      this.#configureScheduler(pool, scheduler, now),
    );
  }

  /**
   * Applies a function to a pool's scheduler, which is created if it doesn't exist.
   *
   * @param pool - the pool's name
   * @param now - present monotonic time in ms
   * @param use - calls the scheduler and returns the resulting actions
   * @returns actions to execute, empty if the bundle doesn't contain the pool
   */
  useScheduler(pool: string, now: number, use: (scheduler: PoolScheduler) => Action[]): Action[] {
    const known = this.#pools.get(pool);
    const scheduled = known ?? this.#createScheduler(pool, now);
    if (scheduled === undefined) return [];
    scheduled.usedAt = now;
    const configured =
      known === undefined ? this.#configureScheduler(pool, scheduled.scheduler, now) : [];
    return [...configured, ...use(scheduled.scheduler)];
  }

  /**
   * Applies a function to all schedulers, for timers and for messages that don't name a pool.
   *
   * @param use - calls a scheduler and returns the resulting actions
   * @returns actions to execute
   */
  useAll(use: (scheduler: PoolScheduler) => Action[]): Action[] {
    return [...this.#pools.values()].flatMap(({ scheduler }) => use(scheduler));
  }

  /**
   * Finds out what this process's schedulers know of a request whose home may be lost. Unless the home
   * may still be alive, the schedulers also void the id, so that they never grant it.
   *
   * @param id - the request's id
   * @param homeMayBeAlive - whether the request's home may still dispatch it
   * @returns `home_alive` if the home may be alive, otherwise the strongest finding of all schedulers
   */
  findRequest(id: string, homeMayBeAlive: boolean): Finding {
    if (homeMayBeAlive) return 'home_alive';
    const schedulers = [...this.#pools.values()].map(({ scheduler }) => scheduler);
    const findings = schedulers.map((scheduler) => scheduler.findingOf(id, homeMayBeAlive));
    schedulers.forEach((scheduler) => scheduler.voidId(id));
    if (findings.includes('granted')) return 'granted';
    return findings.includes('waiting') ? 'waiting' : 'nothing';
  }

  /**
   * Runs the timers of each scheduler, and polls endpoints in use for load and cache events.
   *
   * @param now - present monotonic time in ms
   * @returns actions to execute
   */
  tick(now: number): Action[] {
    this.#pools.forEach((scheduled, pool) => this.#pollEndpoints(pool, scheduled, now));
    return this.useAll((scheduler) => scheduler.tick(now));
  }

  /** @returns whether any request is waiting or running in a pool that this process schedules */
  isBusy(): boolean {
    return [...this.#pools.values()].some(({ scheduler }) => scheduler.isBusy());
  }

  #createScheduler(pool: string, now: number): ScheduledPool | undefined {
    if (this.#input?.routings.has(pool) !== true) return undefined;
    const { policy, timing } = this.settings;
    const scheduler = new PoolScheduler({ pool, policy, timing });
    const scheduled = { scheduler, lastCacheSequences: new Map(), usedAt: now, polledAt: 0 };
    this.#pools.set(pool, scheduled);
    return scheduled;
  }

  #configureScheduler(pool: string, scheduler: PoolScheduler, now: number): Action[] {
    const routing = this.#input?.routings.get(pool);
    if (this.#input === undefined || routing === undefined) return [];
    const { bundle, leaving } = this.#input;
    return scheduler.configure({ bundle, routing, leaving }, now);
  }

  #pollEndpoints(pool: string, scheduled: ScheduledPool, now: number): void {
    const isDue = now - scheduled.polledAt >= this.settings.timing.loadReportIntervalMs;
    if (!isDue || now - scheduled.usedAt > LOAD_POLL_IDLE_TIMEOUT_MS || this.#input === undefined)
      return;
    const { bundle } = this.#input;
    const isModel = bundle.pools.some(({ name, kind }) => name === pool && kind._tag === 'model');
    if (!isModel) return;
    Object.assign(scheduled, { polledAt: now });
    bundle.endpoints
      .filter((endpoint) => endpoint.pool === pool)
      .forEach((endpoint) => this.#pollEndpoint(scheduled, endpoint));
  }

  #pollEndpoint(
    { scheduler, lastCacheSequences }: ScheduledPool,
    { name, address }: Endpoint,
  ): void {
    const after = lastCacheSequences.get(name) ?? 0;
    const poll = Effect.all([
      this.client.load(address),
      this.client.cacheEvents(address, after),
    ]).pipe(
      Effect.tap(([report, events]) =>
        Effect.sync(() => {
          if (report !== undefined) scheduler.applyLoadReport(name, report, this.clock());
          if (events === undefined || events.length === 0) return;
          lastCacheSequences.set(name, events.at(-1)?.sequence ?? after);
          scheduler.applyCacheEvents(name, events);
        }),
      ),
    );
    Effect.runFork(poll);
  }
}
