import { randomBytes } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import type * as Scope from 'effect/Scope';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  EndpointDirectory,
  PlainEndpoints,
  QuotaMeter,
  RetryBudget,
  type DirectoryChange,
} from '../../coordination/gateway/index.ts';
import type { ObjectStore, WireAdapter } from '../../protocol/gateway/index.ts';
import type { GatewaySettings } from '../../state/gateway/index.ts';
import { Timing } from '../../state/Settings.ts';
import { makeGatewayServer, makePlainServer } from '../../transport/gateway/index.ts';
import { makeConnectionPool, type ConnectionPool } from '../../transport/http/index.ts';
import { makePeerNetwork } from '../../transport/peer/index.ts';
import { answerAddresses } from './answerAddresses.ts';
import { Gateway } from './Gateway.ts';
import type { GatewayLog } from './GatewayLog.ts';
import { GatewayMetrics } from './GatewayMetrics.ts';
import { PeerGroup } from './PeerGroup.ts';
import { PlacementDesk } from './PlacementDesk.ts';
import { StoreWatch, type StoreWatchListener } from './StoreWatch.ts';

/** What a gateway process is made of. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly wire: WireAdapter;
  readonly log: GatewayLog;
  /** Makes the store's client on connections of the gateway's. */
  readonly makeStore: (pool: ConnectionPool, onCall: (call: string) => void) => ObjectStore;
  /** Targets at which the platform asks for readiness and callers for addresses. */
  readonly paths: { readonly readiness: string; readonly addresses: string };
  /** Formats the list of addresses for callers. */
  readonly formatAddresses: (addresses: readonly string[], keepMs: number) => string;
}

/** A gateway that runs. */
export interface RunningGateway {
  /** Stops it gracefully; resolves when the process may end. */
  readonly stop: () => Promise<void>;
  /** Takes over what may change while it runs. */
  readonly reload: (settings: GatewaySettings) => void;
}

const TICK_MS = 25;
const CONNECT_TIMEOUT_MS = 300;
/** Endpoints close idle connections after some seconds; one that was idle for less is used again. */
const ENDPOINT_IDLE_MS = 1_500;
const STORE_IDLE_MS = 10_000;
/** Longest wait of one watch: a connection that went silent is noticed within it. */
const WATCH_WAIT_MS = 2_500;
/** Callers keep addresses this long; short, so that a stopping instance is left soon. */
const ADDRESSES_KEEP_MS = 2_000;
/** Time of a drain after which connections on which nothing is asked are closed. */
const DRAIN_IDLE_MS = 2_000;
/** Time before the platform ends the process at which it ends itself. */
const GRACE_MARGIN_MS = 350;
const INCARNATION_TIME_DIGITS = 11;
const PEER_SECRET = 'gateways-on-the-internal-network';

/** Faster than the defaults: a few instances within a few milliseconds of each other. */
const PEER_TIMING = {
  probeIntervalMs: 200,
  probeTimeoutMs: 150,
  suspicionMs: 600,
  incarnationLeaseMs: 3_000,
};

const monotonicNow = (): number => performance.now();

// Sorts by start, so that the process that started first can be told without asking anyone.
const makeIncarnation = (): string =>
  `${Date.now().toString(36).padStart(INCARNATION_TIME_DIGITS, '0')}-${randomBytes(4).toString('hex')}`;

const addressOf = ({ host, port }: { readonly host: string; readonly port: number }): string =>
  `${host}:${port}`;

/**
 * Starts a gateway process; everything closes with the scope.
 *
 * @param options - settings, adapter and log
 * @returns the running gateway
 */
export const runGateway = (
  options: GatewayOptions,
): Effect.Effect<RunningGateway, never, Scope.Scope> =>
  Effect.gen(function* start() {
    const { settings, wire, log } = options;
    const { logger } = log;
    const { bounds } = settings;
    const now = monotonicNow;
    const metrics = new GatewayMetrics();
    const directory = new EndpointDirectory();
    const plain = new PlainEndpoints();
    const timing = Schema.decodeUnknownSync(Timing)(PEER_TIMING);

    const endpointPool = yield* makeConnectionPool({
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      connectionTrustMs: ENDPOINT_IDLE_MS,
      now,
    });
    const storePool = yield* makeConnectionPool({
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      connectionTrustMs: STORE_IDLE_MS,
      now,
    });
    const store = options.makeStore(storePool, (call) => metrics.countStoreCall(call));

    const holder: { group?: PeerGroup } = {};
    const group = (): PeerGroup => {
      if (holder.group === undefined) throw new Error('used before the peers were started');
      return holder.group;
    };
    const members = (): number => group().alive().length + group().cutOff(now()).length;

    const holderGateway: { gateway?: Gateway } = {};
    const desk = new PlacementDesk({
      group,
      quotas: new QuotaMeter(
        {
          windowMs: bounds.quotaWindowMs,
          overshoot: bounds.quotaOvershoot,
          slack: bounds.quotaSlack,
        },
        now(),
      ),
      findAccount: (name) =>
        holderGateway.gateway?.index?.table.accounts?.find((account) => account.name === name),
      configurationVersion: () => holderGateway.gateway?.index?.table.version ?? 0,
      metrics,
      logger,
      now,
    });
    const gateway = new Gateway({
      wire,
      directory,
      plain,
      budget: new RetryBudget({
        ratio: bounds.retryRatio,
        slack: bounds.retrySlack,
        windowMs: bounds.retryWindowMs,
      }),
      desk,
      endpointPool,
      metrics,
      logger,
      now,
      random: Math.random,
      members,
    });
    holderGateway.gateway = gateway;

    const peers = yield* makePeerNetwork({
      address: addressOf(settings.peers),
      secret: PEER_SECRET,
      incarnation: () => holder.group?.incarnation ?? '',
      now,
    });
    holder.group = new PeerGroup({
      self: {
        incarnation: makeIncarnation(),
        callerAddress: addressOf(settings.callers),
        peerAddress: peers.address,
        failureDomain: settings.failureDomain,
        region: settings.region,
        status: 'alive',
        revision: 0,
        draining: false,
      },
      timing,
      random: xoroshiro128plus(randomBytes(4).readInt32LE()),
      network: peers.network,
      logger,
      nextIncarnation: makeIncarnation,
      onMessage: (from, message, at) => desk.handle(from, message, at),
      onEnded: (incarnation) => desk.memberEnded(incarnation),
    });
    peers.network.onDelivery(({ from, message }) => group().handle(from, message, now()));
    group().join(settings.seeds, now());

    let endpointsKnown = false;
    const isReady = (): boolean =>
      gateway.phase._tag === 'serving' && gateway.index !== undefined && endpointsKnown;

    const noteChanges = (changes: readonly DirectoryChange[]): void => {
      changes.forEach(({ _tag, record }) => {
        logger.info(
          {
            endpoint: record.id,
            address: record.address,
            service: record.service,
            failureDomain: record.failureDomain,
            version: record.version,
            change: _tag,
          },
          'endpoint changed',
        );
      });
    };
    const updateEngines = (): void => {
      desk.scheduler.setEngines(gateway.engines());
      plain.keep(new Set(directory.allReady().map(({ id }) => id)));
    };
    const dependency = (name: string) => ({
      onRegained: () => {
        directory.storeAnswered(now());
        logger.info({ dependency: name }, 'dependency regained');
      },
      onFailed: (detail: string) => {
        directory.storeFailed();
        logger.warn({ dependency: name, detail }, 'dependency lost');
      },
    });
    const configurationListener: StoreWatchListener = {
      ...dependency('store: configuration'),
      onList: (objects) => objects.forEach(({ spec }) => takeConfiguration(spec)),
      onChanges: (changes) => changes.forEach(({ object }) => takeConfiguration(object.spec)),
    };
    function takeConfiguration(spec: unknown): void {
      const table = wire.readRouteTable(spec);
      if (table === undefined) {
        logger.warn('configuration in the store is unreadable');
        return;
      }
      if (gateway.configure(table, 'store')) updateEngines();
    }
    const endpointsListener: StoreWatchListener = {
      ...dependency('store: endpoints'),
      onList: (objects) => {
        const records = objects
          .map(({ name, spec }) => wire.readEndpoint(name, spec))
          .filter((record) => record !== undefined);
        noteChanges(directory.replaceAll(records, now()));
        endpointsKnown = true;
        updateEngines();
      },
      onChanges: (changes) => {
        changes.forEach(({ removed, object }) => {
          const record = removed ? undefined : wire.readEndpoint(object.name, object.spec);
          noteChanges(
            record === undefined ? directory.remove(object.name, now()) : directory.put(record),
          );
        });
        updateEngines();
      },
    };
    const watches = [
      new StoreWatch({
        store,
        kind: 'configuration',
        listener: configurationListener,
        waitMs: WATCH_WAIT_MS,
        random: Math.random,
      }),
      new StoreWatch({
        store,
        kind: 'endpoints',
        listener: endpointsListener,
        waitMs: WATCH_WAIT_MS,
        random: Math.random,
      }),
    ];
    yield* Effect.acquireRelease(
      Effect.sync(() => {
        watches.forEach((watch) => {
          watch.run().catch((error: Error) => logger.error({ err: error }, 'watch ended'));
        });
      }),
      () => Effect.sync(() => watches.forEach((watch) => watch.stop())),
    );

    const server = yield* makeGatewayServer({
      address: settings.callers,
      now,
      limits: () =>
        gateway.index?.table.limits ?? {
          maximumHeaderBytes: 16_384,
          maximumBodyBytes: 4_194_304,
          headerTimeoutMs: 3_000,
          idleTimeoutMs: 15_000,
        },
      onRequest: (request, answer) => gateway.serve(request, answer),
      onRejected: (status, reason) => {
        metrics.countEnded('', 'rejected', status);
        logger.info({ status, reason }, 'request rejected');
      },
    });
    yield* makePlainServer(settings.readiness, ({ pathname }) =>
      pathname === options.paths.readiness ? { status: isReady() ? 200 : 503 } : undefined,
    );
    const keepMs = Math.min(ADDRESSES_KEEP_MS, bounds.addressesKeepMs);
    yield* makePlainServer(settings.directory, (url) => {
      if (url.pathname !== options.paths.addresses) return undefined;
      const addresses = answerAddresses(group().serving(), group().cutOff(now()));
      if (addresses.length === 0) return { status: 503 };
      return {
        status: 200,
        contentType: 'application/json',
        text: options.formatAddresses(addresses, keepMs),
      };
    });
    yield* makePlainServer(settings.metrics, ({ pathname }) =>
      pathname === '/metrics'
        ? metrics
            .render({
              configurationVersion: gateway.index?.table.version ?? 0,
              members: group().alive().length,
              ...desk.counts(),
              droppedLogLines: log.dropped(),
            })
            .then((text) => ({ status: 200, text }))
        : undefined,
    );
    yield* Effect.acquireRelease(
      Effect.sync(() =>
        setInterval(() => {
          const at = now();
          group().tick(at);
          const changes = directory.tick(at);
          noteChanges(changes);
          if (changes.length > 0) updateEngines();
          desk.tick();
        }, TICK_MS),
      ),
      (timer) => Effect.sync(() => clearInterval(timer)),
    );
    logger.info(
      { instance: settings.instance, address: addressOf(settings.callers), seeds: settings.seeds },
      'gateway started',
    );

    const stop = (): Promise<void> =>
      new Promise((resolve) => {
        const since = now();
        logger.info({ inFlight: gateway.inFlight }, 'gateway is draining');
        gateway.drain();
        server.startDraining();
        group().drain(since);
        const timer = setInterval(() => {
          const elapsedMs = now() - since;
          if (elapsedMs > DRAIN_IDLE_MS) server.closeIdle();
          const isIdle = gateway.inFlight === 0 && server.connections() === 0;
          const isOver = elapsedMs > bounds.graceMs - GRACE_MARGIN_MS;
          if (!isOver && !(isIdle && elapsedMs > DRAIN_IDLE_MS)) return;
          clearInterval(timer);
          if (gateway.inFlight > 0) {
            logger.warn({ inFlight: gateway.inFlight }, 'grace is over; ending what is in flight');
            gateway.abortAll();
          }
          group().leave(now());
          logger.info({ afterMs: Math.round(elapsedMs) }, 'gateway stopped');
          setTimeout(resolve, TICK_MS);
        }, TICK_MS);
      });

    return {
      stop,
      reload: (changed) => {
        logger.info({ seeds: changed.seeds }, 'settings reloaded');
        group().join(changed.seeds, now());
      },
    };
  });
