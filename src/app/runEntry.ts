import { randomUUID } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type { Logger } from 'pino';
import type { Action } from '../coordination/Action.ts';
import { runRelay } from '../coordination/configuration/index.ts';
import { MoveRuns } from '../coordination/moves/index.ts';
import type { CallerService } from '../protocol/caller/CallerRequest.ts';
import type { EndpointClient } from '../protocol/engine/EndpointClient.ts';
import type { Platform } from '../protocol/platform/Platform.ts';
import type { Instance } from '../state/Instance.ts';
import type { Settings } from '../state/Settings.ts';
import { makeCallerServer, makeForwarder } from '../transport/caller/index.ts';
import { makeEndpointClient } from '../transport/endpoint/index.ts';
import { makePeerNetwork } from '../transport/peer/index.ts';
import { makePlatformClient } from '../transport/platform/index.ts';
import { EntryCallerService } from './EntryCallerService.ts';
import { Entry } from './Entry.ts';

const TICK_MS = 25;
const IDLE_TICK_MS = 100;
/** Time for a last message to reach peers before the links close. */
const LEAVE_MS = 100;

/** A running entry process. */
export interface RunningEntry {
  /** `IP:PORT` that callers reach it at. */
  readonly callerAddress: string;
  /** `IP:PORT` that peers reach it at. */
  readonly peerAddress: string;
  readonly entry: Entry;
  /** Resolves once a drain has ended: nothing waits or runs any more. */
  readonly drained: Promise<void>;
}

const monotonicNow = (): number => performance.now();

/** The caller-facing server starts before the entry, whose own address it gives. */
class DeferredCallerService {
  #front: EntryCallerService | undefined;

  set front(front: EntryCallerService) {
    this.#front = front;
  }

  readonly service: CallerService = {
    entries: () => this.#front?.entries() ?? { entries: [], keepForMs: 0 },
    serve: (request, answer) => {
      if (this.#front === undefined) answer.tellNotRun('no_configuration', TICK_MS);
      else this.#front.serve(request, answer);
    },
    status: (id, key) => this.#front?.status(id, key) ?? Promise.resolve(undefined),
    ready: () => this.#front?.ready() ?? false,
    metrics: () => this.#front?.metrics() ?? Promise.resolve(''),
    models: (key) => this.#front?.models(key),
    drain: () => this.#front?.drain(),
  };
}

const entryAddresses = (instances: readonly Instance[]): readonly string[] =>
  instances.flatMap(({ role, state, address }) =>
    role === 'entry' && state === 'live' ? [address] : [],
  );

/** Ticks closely while requests are served and seldom otherwise: control is paid for also when idle. */
const runTicks = (entry: Entry): Effect.Effect<void, never, Scope.Scope> =>
  Effect.acquireRelease(
    Effect.sync(() => {
      const ticker: { timer?: NodeJS.Timeout } = {};
      const tick = (): void => {
        ticker.timer = setTimeout(tick, entry.isBusy() ? TICK_MS : IDLE_TICK_MS);
        entry.tick();
      };
      tick();
      return ticker;
    }),
    (ticker) => Effect.sync(() => clearTimeout(ticker.timer)),
  ).pipe(Effect.asVoid);

const driveMoves = (
  entry: Entry,
  platform: Platform,
  client: EndpointClient,
  onActions: (actions: readonly Action[]) => void,
): Effect.Effect<void, never, Scope.Scope> => {
  const moves = new MoveRuns({
    platform,
    client,
    board: entry.configurationReplica,
    incarnation: entry.incarnation,
    leaseMs: entry.settings.timing.moveLeaseMs,
    now: monotonicNow,
    wallNow: () => Date.now(),
    nonce: () => randomUUID(),
    isDriver: (pool) => entry.isScheduler(pool),
    onActions,
  });
  return Effect.suspend(() => {
    Object.assign(entry, { recordRelease: moves.record.bind(moves) });
    return moves.run();
  });
};

const watchDrain = (entry: Entry): Promise<void> =>
  new Promise((resolve) => {
    let drainingSince: number | undefined;
    const timer = setInterval(() => {
      if (!entry.draining) return;
      drainingSince ??= entry.now();
      const isOver = entry.now() - drainingSince > entry.settings.limits.drainTimeoutMs;
      if (entry.home.size > 0 && !isOver) return;
      clearInterval(timer);
      resolve();
    }, TICK_MS);
    timer.unref();
  });

/**
 * Starts an entry process: its servers, links and machines, all owned by the scope.
 *
 * @param settings - checked settings
 * @param logger - where decisions and events are written
 * @returns the running entry
 */
export const runEntry = (
  settings: Settings,
  logger: Logger,
): Effect.Effect<RunningEntry, never, Scope.Scope> =>
  Effect.gen(function* start() {
    const { timing, limits } = settings;
    const now = monotonicNow;
    const late = new DeferredCallerService();
    const client = yield* makeEndpointClient({ timing, limits, now });
    const platform = yield* makePlatformClient(settings.platform);
    const forwarder = yield* makeForwarder({ timing, now });
    const callerAddress = yield* makeCallerServer({
      address: settings.callerAddress,
      limits,
      service: late.service,
      drainSecret: settings.peerSecret,
    });
    const holder: { entry?: Entry } = {};
    const peers = yield* makePeerNetwork({
      address: settings.peerAddress,
      secret: settings.peerSecret,
      incarnation: () => holder.entry?.incarnation ?? '',
      now,
    });
    const entry = new Entry({
      settings,
      callerAddress,
      peerAddress: peers.address,
      client,
      network: peers.network,
      logger,
      now,
      wallNow: () => Date.now(),
    });
    holder.entry = entry;
    late.front = new EntryCallerService(entry, forwarder);
    entry.listen();
    const onActions = (actions: readonly Action[]): void => {
      entry.execute(actions);
      entry.refreshConfiguration();
    };
    yield* runRelay({
      platform,
      configurationReplica: entry.configurationReplica,
      isRelay: () => entry.isRelay(),
      now,
      random: entry.random,
      onActions,
      onInstances: (instances) => entry.join(entryAddresses(instances)),
    });
    entry.join(settings.seeds);
    yield* driveMoves(entry, platform, client, onActions);
    yield* runTicks(entry);
    yield* Effect.addFinalizer(() =>
      Effect.gen(function* stop() {
        entry.leave();
        yield* Effect.sleep(LEAVE_MS);
      }),
    );
    logger.info({ callerAddress, peerAddress: peers.address }, 'entry started');
    return { callerAddress, peerAddress: peers.address, entry, drained: watchDrain(entry) };
  });
