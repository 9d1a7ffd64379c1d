import { randomUUID } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type { Logger } from 'pino';
import type { Action } from '../coordination/Action.ts';
import { runRelay } from '../coordination/configuration/index.ts';
import { MoveDrivers } from '../coordination/moves/index.ts';
import type { CallerService } from '../protocol/caller/CallerService.ts';
import type { EndpointClient } from '../protocol/engine/EndpointClient.ts';
import type { PlatformApi } from '../protocol/platform/PlatformApi.ts';
import type { Instance } from '../state/Instance.ts';
import type { EntrySettings } from '../state/EntrySettings.ts';
import { makeCallerServer, makeForwarder } from '../transport/caller/index.ts';
import { makeEndpointClient } from '../transport/endpoint/index.ts';
import { makePeerNetwork } from '../transport/peer/index.ts';
import { makePlatformClient } from '../transport/platform/index.ts';
import { EntryCallerService } from './EntryCallerService.ts';
import { Entry } from './Entry.ts';

const BUSY_TICK_INTERVAL_MS = 25;
const IDLE_TICK_INTERVAL_MS = 100;
/** Delay before the connections to peers are closed, so that the leave message reaches them. */
const LEAVE_DELAY_MS = 100;

/** A running entry process. */
export interface RunningEntry {
  /** Address `IP:PORT` for callers. */
  readonly callerAddress: string;
  /** Address `IP:PORT` for peers. */
  readonly peerAddress: string;
  readonly entry: Entry;
  /** Resolves at the end of a drain: no request is waiting or running, or the drain has timed out. */
  readonly drained: Promise<void>;
}

const monotonicNow = (): number => performance.now();

/**
 * Caller service that delegates to the entry's service once that exists. The caller server must start
 * first, because the entry needs the server's address.
 */
class DeferredCallerService {
  #delegate: EntryCallerService | undefined;

  set delegate(delegate: EntryCallerService) {
    this.#delegate = delegate;
  }

  readonly service: CallerService = {
    listEntries: () => this.#delegate?.listEntries() ?? { entries: [], keepForMs: 0 },
    serve: (request, answer) => {
      if (this.#delegate === undefined)
        answer.sendNotRun('no_configuration', BUSY_TICK_INTERVAL_MS);
      else this.#delegate.serve(request, answer);
    },
    findStatus: (id, key) => this.#delegate?.findStatus(id, key) ?? Promise.resolve(undefined),
    isReady: () => this.#delegate?.isReady() ?? false,
    renderMetrics: () => this.#delegate?.renderMetrics() ?? Promise.resolve(''),
    listModels: (key) => this.#delegate?.listModels(key),
    drain: () => this.#delegate?.drain(),
  };
}

const livePeerAddresses = (instances: readonly Instance[]): readonly string[] =>
  instances.flatMap(({ role, state, address }) =>
    role === 'entry' && state === 'live' ? [address] : [],
  );

/** Ticks at a short interval while the entry is busy and at a longer one otherwise, to save CPU time when idle. */
const runTicks = (entry: Entry): Effect.Effect<void, never, Scope.Scope> =>
  Effect.acquireRelease(
    Effect.sync(() => {
      const ticker: { timer?: NodeJS.Timeout } = {};
      const tick = (): void => {
        ticker.timer = setTimeout(
          tick,
          entry.isBusy() ? BUSY_TICK_INTERVAL_MS : IDLE_TICK_INTERVAL_MS,
        );
        entry.tick();
      };
      tick();
      return ticker;
    }),
    (ticker) => Effect.sync(() => clearTimeout(ticker.timer)),
  ).pipe(Effect.asVoid);

const runMoves = (
  entry: Entry,
  platform: PlatformApi,
  client: EndpointClient,
  onActions: (actions: readonly Action[]) => void,
): Effect.Effect<void, never, Scope.Scope> => {
  const moves = new MoveDrivers({
    platform,
    client,
    replica: entry.replica,
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

const waitForDrain = (entry: Entry): Promise<void> =>
  new Promise((resolve) => {
    let drainingSince: number | undefined;
    const timer = setInterval(() => {
      if (!entry.draining) return;
      drainingSince ??= entry.now();
      const hasTimedOut = entry.now() - drainingSince > entry.settings.limits.drainTimeoutMs;
      if (entry.home.size > 0 && !hasTimedOut) return;
      clearInterval(timer);
      resolve();
    }, BUSY_TICK_INTERVAL_MS);
    timer.unref();
  });

/**
 * Starts an entry process. The scope owns its servers, connections and background tasks.
 *
 * @param settings - validated settings
 * @param logger - logger for decisions and events
 * @returns the running entry
 */
export const runEntry = (
  settings: EntrySettings,
  logger: Logger,
): Effect.Effect<RunningEntry, never, Scope.Scope> =>
  Effect.gen(function* start() {
    const { timing, limits } = settings;
    const now = monotonicNow;
    const deferredService = new DeferredCallerService();
    const client = yield* makeEndpointClient({ timing, limits, now });
    const platform = yield* makePlatformClient(settings.platform);
    const forwarder = yield* makeForwarder({ timing, now });
    const callerAddress = yield* makeCallerServer({
      address: settings.callerAddress,
      limits,
      service: deferredService.service,
      drainSecret: settings.peerSecret,
    });
    // The peer network asks for the incarnation of the entry, which is created after it.
    const entryReference: { entry?: Entry } = {};
    const peers = yield* makePeerNetwork({
      address: settings.peerAddress,
      secret: settings.peerSecret,
      incarnation: () => entryReference.entry?.incarnation ?? '',
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
    entryReference.entry = entry;
    deferredService.delegate = new EntryCallerService(entry, forwarder);
    entry.listen();
    const onActions = (actions: readonly Action[]): void => {
      entry.execute(actions);
      entry.refreshConfiguration();
    };
    yield* runRelay({
      platform,
      configurationReplica: entry.replica,
      isRelay: () => entry.isRelay(),
      now,
      random: entry.random,
      onActions,
      onInstances: (instances) => entry.join(livePeerAddresses(instances)),
    });
    entry.join(settings.seeds);
    yield* runMoves(entry, platform, client, onActions);
    yield* runTicks(entry);
    yield* Effect.addFinalizer(() =>
      Effect.gen(function* stop() {
        entry.leave();
        yield* Effect.sleep(LEAVE_DELAY_MS);
      }),
    );
    logger.info({ callerAddress, peerAddress: peers.address }, 'entry started');
    return { callerAddress, peerAddress: peers.address, entry, drained: waitForDrain(entry) };
  });
