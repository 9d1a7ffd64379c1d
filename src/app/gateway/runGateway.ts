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
} from '../../coordination/gateway/index.ts';
import type { ObjectStore, WireAdapter } from '../../protocol/gateway/index.ts';
import type { ClientLimits, GatewaySettings } from '../../state/gateway/index.ts';
import { Timing } from '../../state/EntrySettings.ts';
import { makeGatewayServer } from '../../transport/gateway/index.ts';
import { makeConnectionPool, type ConnectionPool } from '../../transport/http/index.ts';
import { makePeerNetwork } from '../../transport/peer/index.ts';
import { answerQuestions } from './answerQuestions.ts';
import { drainGateway } from './drainGateway.ts';
import { Gateway } from './Gateway.ts';
import type { GatewayLog } from './GatewayLog.ts';
import { GatewayMetrics } from './GatewayMetrics.ts';
import { makeIncarnation } from './makeIncarnation.ts';
import { PeerGroup } from './PeerGroup.ts';
import { PlacementDesk } from './PlacementDesk.ts';
import { StoreFollower } from './StoreFollower.ts';

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
  /** Where it listens, `IP:PORT`. */
  readonly addresses: {
    readonly callers: string;
    readonly readiness: string;
    readonly directory: string;
    readonly peers: string;
    readonly metrics: string;
  };
  /** Stops it gracefully; resolves when the process may end. */
  readonly stop: () => Promise<void>;
  /** Takes over what may change while it runs. */
  readonly reload: (settings: GatewaySettings) => void;
}

/** How often timers are looked at; what waits for a slot is decided when one is freed. */
const TICK_MS = 50;
const CONNECT_TIMEOUT_MS = 300;
/** Endpoints close idle connections after some seconds; one that was idle for less is used again. */
const ENDPOINT_IDLE_MS = 1_500;
const STORE_IDLE_MS = 10_000;
/** All on the internal network may join: the platform gives processes no secret of their own. */
const PEER_SECRET = 'gateways-on-the-internal-network';

/** Closer than the defaults: a few instances within a few milliseconds of each other. */
const PEER_TIMING = {
  probeIntervalMs: 250,
  probeTimeoutMs: 150,
  suspicionMs: 600,
  incarnationLeaseMs: 3_000,
};

/** Until a configuration says otherwise. */
const FIRST_LIMITS: ClientLimits = {
  maximumHeaderBytes: 16_384,
  maximumBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

const addressOf = ({ host, port }: { readonly host: string; readonly port: number }): string =>
  `${host}:${port}`;

/** A value that is set once, after those who use it were made. */
class Late<T> {
  #value: T | undefined;

  set(value: T): void {
    this.#value = value;
  }

  get(): T {
    if (this.#value === undefined) throw new Error('used before it was set');
    return this.#value;
  }

  peek(): T | undefined {
    return this.#value;
  }
}

const makePools = (now: () => number) =>
  Effect.all({
    endpointPool: makeConnectionPool({
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      connectionTrustMs: ENDPOINT_IDLE_MS,
      now,
    }),
    storePool: makeConnectionPool({
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      connectionTrustMs: STORE_IDLE_MS,
      now,
    }),
  });

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
    const now = (): number => performance.now();
    const metrics = new GatewayMetrics();
    const directory = new EndpointDirectory();
    const plain = new PlainEndpoints();
    const timing = yield* Schema.decodeEffect(Timing)(PEER_TIMING).pipe(Effect.orDie);
    const { endpointPool, storePool } = yield* makePools(now);
    const late = {
      group: new Late<PeerGroup>(),
      gateway: new Late<Gateway>(),
      follower: new Late<StoreFollower>(),
    };

    const desk = new PlacementDesk({
      group: () => late.group.get(),
      quotas: new QuotaMeter(
        {
          windowMs: bounds.quotaWindowMs,
          overshoot: bounds.quotaOvershoot,
          slack: bounds.quotaSlack,
        },
        now(),
      ),
      findAccount: (name) => late.gateway.peek()?.routeIndex?.findAccount(name),
      configurationVersion: () => late.gateway.peek()?.routeIndex?.table.version ?? 0,
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
      memberCount: () => late.group.get().alive().length + late.group.get().cutOff(now()).length,
    });
    late.gateway.set(gateway);

    const server = yield* makeGatewayServer({
      address: settings.callers,
      now,
      limits: () => gateway.routeIndex?.table.limits ?? FIRST_LIMITS,
      onRequest: (request, answer) => gateway.serve(request, answer),
      onRejected: (status, reason) => {
        metrics.countEnded('', 'rejected', status);
        logger.info({ status, reason }, 'request rejected');
      },
      onUnavailable: (reason) => logger.warn({ reason }, 'cannot listen for callers yet'),
    });
    const peers = yield* makePeerNetwork({
      address: addressOf(settings.peers),
      secret: PEER_SECRET,
      incarnation: () => late.group.peek()?.incarnation ?? '',
      now,
    });
    const group = new PeerGroup({
      self: {
        incarnation: makeIncarnation(Date.now()),
        callerAddress: server.address,
        peerAddress: settings.advertisedPeerAddress ?? peers.address,
        failureDomain: settings.failureDomain,
        region: settings.region,
        status: 'alive',
        revision: 0,
        draining: false,
        strength: settings.cores,
      },
      timing,
      random: xoroshiro128plus(randomBytes(4).readInt32LE()),
      network: peers.network,
      logger,
      nextIncarnation: () => makeIncarnation(Date.now()),
      onMessage: (from, message, at) => {
        desk.handle(from, message, at);
        late.follower.peek()?.handle(from, message);
      },
      onEnded: (incarnation) => desk.memberEnded(incarnation),
    });
    late.group.set(group);
    peers.network.onDelivery(({ from, message }) => group.handle(from, message, now()));
    group.join(settings.seeds, now());

    const updateEngines = (): void => {
      desk.scheduler.setEngines(gateway.engines());
      plain.keep(new Set(directory.allReady().map(({ id }) => id)));
    };
    const follower = yield* Effect.acquireRelease(
      Effect.sync(() => {
        const started = new StoreFollower({
          store: options.makeStore(storePool, (call) => metrics.countStoreCall(call)),
          wire,
          directory,
          group,
          logger,
          now,
          random: Math.random,
          onConfiguration: (table) => {
            if (gateway.configure(table, 'store')) updateEngines();
          },
          onEndpoints: updateEngines,
        });
        late.follower.set(started);
        started.start();
        return started;
      }),
      (started) => Effect.sync(() => started.stop()),
    );

    const questions = yield* answerQuestions({
      ...options,
      gateway,
      follower,
      group,
      desk,
      metrics,
      now,
    });

    yield* Effect.acquireRelease(
      Effect.sync(() =>
        setInterval(() => {
          group.tick(now());
          follower.tick();
          desk.tick();
        }, TICK_MS),
      ),
      (timer) => Effect.sync(() => clearInterval(timer)),
    );
    const addresses = {
      callers: server.address,
      peers: peers.address,
      ...questions,
    };
    logger.info(
      { addresses, seeds: settings.seeds, incarnation: group.incarnation },
      'gateway started',
    );

    return {
      addresses,
      stop: () => drainGateway({ gateway, server, group, logger, graceMs: bounds.graceMs, now }),
      reload: (changed) => {
        logger.info({ seeds: changed.seeds }, 'settings reloaded');
        group.join(changed.seeds, now());
      },
    };
  });
