import { randomBytes } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import type * as Scope from 'effect/Scope';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  DomainDrains,
  EndpointDirectory,
  PlainEndpointSelector,
  PlainServiceBalancer,
  RolloutGate,
  CALM_TICK_INTERVAL_MS,
  TICK_INTERVAL_MS,
  YOUNG_VIEW_MS,
} from '../../coordination/gateway/index.ts';
import {
  endpointStartOf,
  DEFAULT_CLIENT_LIMITS,
  type EndpointRecord,
} from '../../state/gateway/index.ts';
import { EntryTiming } from '../../state/EntrySettings.ts';
import { makeGatewayServer } from '../../transport/gateway/index.ts';
import { makePeerNetwork } from '../../transport/peer/index.ts';
import { startStatusServers } from './startStatusServers.ts';
import { drainGateway } from './drainGateway.ts';
import { EndpointLimitMonitor } from './placement/EndpointLimitMonitor.ts';
import { makeCrashDetector } from './crashes/makeCrashDetector.ts';
import { CrashMonitor } from './crashes/CrashMonitor.ts';
import { FaultLog } from './FaultLog.ts';
import { Gateway } from './Gateway.ts';
import { ExclusionMonitor } from './reach/ExclusionMonitor.ts';
import { GatewayMetrics } from './GatewayMetrics.ts';
import type { GatewayOptions, RunningGateway } from './GatewayOptions.ts';
import { LateBound } from './LateBound.ts';
import { makeHedgeMonitor } from './placement/HedgeMonitor.ts';
import { makeResources } from './makeResources.ts';
import { makeGroupBounds } from './makeGroupBounds.ts';
import { makeIncarnation } from './makeIncarnation.ts';
import { PauseMonitor } from './PauseMonitor.ts';
import { PeerForwarder } from './reach/PeerForwarder.ts';
import { PeerGroup } from './PeerGroup.ts';
import { runPeriodically } from './runPeriodically.ts';
import { PlacementCoordinator } from './placement/PlacementCoordinator.ts';
import { ReachMonitor } from './reach/ReachMonitor.ts';
import { receiveForwarded } from './reach/receiveForwarded.ts';
import type { DomainDrainSubscription } from './following/DomainDrainSubscription.ts';
import { startDomainDrains } from './following/startDomainDrains.ts';
import { makeSendPermission } from './request/makeSendPermission.ts';
import { RolloutMonitor } from './rollouts/RolloutMonitor.ts';
import { predictRequestMs } from './rollouts/predictRequestMs.ts';
import { StoreSubscription } from './following/StoreSubscription.ts';

/** Interval at which requests in flight are looked at while some are, or should be, at peers. */
const REVIEW_INTERVAL_MS = 250;
/** Fixed, because the platform provides no secret: every process on the internal network may join. */
const PEER_SECRET = 'gateways-on-the-internal-network';

/** Shorter than the defaults, for a few instances with a few milliseconds of latency between them. */
const PEER_TIMING = {
  probeIntervalMs: 250,
  probeTimeoutMs: 150,
  suspicionMs: 600,
  incarnationLeaseMs: 3_000,
};

const addressOf = ({ host, port }: { readonly host: string; readonly port: number }): string =>
  `${host}:${port}`;

/**
 * Starts a gateway process; its servers, timers and connections close with the scope.
 *
 * @param options - settings, platform adapters and log
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
    const faults = new FaultLog(logger);
    const drains = new DomainDrains(bounds.domainDrainMs, now());
    const isUsable = ({ failureDomain }: EndpointRecord): boolean =>
      drains.isUsable(failureDomain, now());
    const directory = new EndpointDirectory(isUsable);
    const plainEndpoints = new PlainServiceBalancer();
    const timing = yield* Schema.decodeEffect(EntryTiming)(PEER_TIMING).pipe(Effect.orDie);
    const resources = yield* makeResources(settings, now, faults);
    const { endpointPool, answerMemory, inbound } = resources;
    const lateBound = {
      group: new LateBound<PeerGroup>(),
      gateway: new LateBound<Gateway>(),
      storeSubscription: new LateBound<StoreSubscription>(),
      drainSubscription: new LateBound<DomainDrainSubscription>(),
    };

    const crashes = new CrashMonitor({ group: () => lateBound.group.get(), logger, now });
    const reach = new ReachMonitor({
      pool: endpointPool,
      listEndpoints: () => directory.listAllReady(),
      findSilentEndpoint: (at) => lateBound.gateway.peek()?.findSilentEndpoint(at),
      onChanged: (isIsolated) => {
        lateBound.group.peek()?.setIsolated(isIsolated, now());
        lateBound.gateway.peek()?.reviewInFlight(now());
      },
      metrics,
      logger,
      now,
    });
    const forwarder = new PeerForwarder({
      group: () => lateBound.group.get(),
      pool: resources.peerPool,
      wire,
      secret: PEER_SECRET,
      failureDomain: settings.failureDomain,
      random: Math.random,
    });
    const crashDetector = makeCrashDetector({
      pool: endpointPool,
      reach,
      forwarder,
      directory,
      crashes,
      metrics,
      logger,
      now,
    });
    const store = options.makeStore(resources.storePool, (call) => metrics.countStoreCall(call));
    const { endpointLimits, quotas, retryBudget } = makeGroupBounds(settings, now());
    const hedging = makeHedgeMonitor(settings, {
      group: () => lateBound.group.get(),
      listReady: (service) => directory.listReady(service),
      now,
    });
    const { coldCaps } = endpointLimits;
    const gate = new RolloutGate(bounds.rollouts?.rollbackMs);
    const placements = new PlacementCoordinator({
      group: () => lateBound.group.get(),
      crashes,
      hedging,
      limits: endpointLimits,
      quotas,
      candidates: gate,
      findAccount: (name) => lateBound.gateway.peek()?.routeIndex?.findAccount(name),
      configurationVersion: () => lateBound.gateway.peek()?.routeIndex?.table.version ?? 0,
      metrics,
      logger,
      now,
    });
    placements.scheduler.isUsable = isUsable;
    const rollouts = new RolloutMonitor({
      group: () => lateBound.group.get(),
      gate,
      bounds: bounds.rollouts,
      store,
      wire,
      listEndpoints: () => directory.listAllReady(),
      isEngineService: (name) =>
        lateBound.gateway.peek()?.routeIndex?.findService(name)?.engine !== undefined,
      makePrediction: (service) => predictRequestMs(service, placements.scheduler.engines()),
      metrics,
      logger,
      now,
      timeOfDay: () => Date.now(),
      sleep: (ms) => sleep(ms),
    });
    const updateScheduledEndpoints = (): void => {
      const records = lateBound.gateway
        .peek()
        ?.scheduledEndpoints((record) => endpointLimits.isLimited(endpointStartOf(record), now()));
      placements.scheduler.setEngines(records ?? []);
    };
    const limits = new EndpointLimitMonitor({
      group: () => lateBound.group.get(),
      limits: endpointLimits,
      onChanged: updateScheduledEndpoints,
      logger,
      now,
    });
    const exclusions = new ExclusionMonitor({
      group: () => lateBound.group.get(),
      logger,
      now,
    });
    const pauses = new PauseMonitor({
      onPaused: (pause) => {
        // Another gateway may have charged them meanwhile.
        quotas.reset(now());
        endpointLimits.reset(now());
        if (pause.uncountedMs > 0) {
          retryBudget.forgetRequests();
          hedging?.policy.forget();
        }
        endpointPool.closeIdle();
        lateBound.storeSubscription.peek()?.recordPause(pause);
      },
      refreshView: async () => lateBound.storeSubscription.peek()?.refresh(),
      metrics,
      logger,
      now,
      wallNow: () => Date.now(),
    });
    const gateway = new Gateway({
      wire,
      directory,
      plainEndpoints,
      plainSelector: new PlainEndpointSelector(plainEndpoints, endpointLimits),
      retryBudget,
      hedging,
      placements,
      pauses,
      crashes,
      crashDetector,
      limits,
      exclusions,
      reach,
      rollouts,
      forwarder,
      endpointPool,
      answerMemory,
      metrics,
      logger,
      now,
      random: Math.random,
      maySend: makeSendPermission({ directory, exclusions, coldCaps, now }),
      viewAge: (at) => lateBound.storeSubscription.get().viewAge(at),
      memberCount: () =>
        lateBound.group.get().sizeEstimate(now()) +
        lateBound.group.get().recentlyLostMembers(now()).length +
        lateBound.group.get().unmetCount(now()),
    });
    lateBound.gateway.set(gateway);

    const server = yield* makeGatewayServer({
      ...inbound,
      address: settings.callers,
      limits: () => gateway.routeIndex?.table.limits ?? DEFAULT_CLIENT_LIMITS,
      onRequest: (request, answer) => gateway.serve(request, answer),
      onRejected: (status, reason) => {
        metrics.countRequest('', 'rejected', status);
        logger.info({ status, reason }, 'request rejected');
      },
      onFault: faults.reporter('request'),
      onUnavailable: (reason) => logger.warn({ reason }, 'cannot listen for callers yet'),
    });
    const peers = yield* makePeerNetwork({
      address: addressOf(settings.peers),
      secret: PEER_SECRET,
      incarnation: () => lateBound.group.peek()?.incarnation ?? '',
      now,
      onRequest: receiveForwarded({
        ...inbound,
        secret: PEER_SECRET,
        limits: () => gateway.routeIndex?.table.limits ?? DEFAULT_CLIENT_LIMITS,
        onRequest: (request, answer, envelope) => gateway.serveForwarded(request, answer, envelope),
        onFault: faults.reporter('forwarded request'),
        logger,
      }),
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
        ...(peers.network.takesDatagrams && { datagrams: true }),
      },
      timing,
      random: xoroshiro128plus(randomBytes(4).readInt32LE()),
      network: peers.network,
      logger,
      nextIncarnation: () => makeIncarnation(Date.now()),
      onMessage: (from, message, at) => {
        placements.handle(from, message, at);
        hedging?.handle(from, message);
        crashes.handle(message);
        limits.handle(message);
        exclusions.handle(message);
        rollouts.handle(from, message);
        lateBound.storeSubscription.peek()?.handle(from, message);
        lateBound.drainSubscription.peek()?.handle(message);
      },
      onMemberEnded: (incarnation) => placements.removeMember(incarnation),
    });
    lateBound.group.set(group);
    peers.network.onDelivery((delivery) =>
      faults.contain(delivery.message._tag, () => group.handle(delivery, now())),
    );
    group.join(settings.seeds, now());

    const updateEngines = (): void => {
      coldCaps.retain(new Set(directory.listAll().map(endpointStartOf)));
      rollouts.updateEndpoints();
      updateScheduledEndpoints();
      directory
        .listReadyVersions()
        .forEach((versions, service) => crashes.followVersions(service, versions));
      plainEndpoints.retain(new Set(directory.listAccepting().map(({ id }) => id)));
    };
    const drainSubscription = yield* startDomainDrains({
      store,
      drains,
      directory,
      coldCaps,
      group,
      logger,
      now,
      onChanged: updateEngines,
    });
    lateBound.drainSubscription.set(drainSubscription);
    const storeSubscription = yield* Effect.acquireRelease(
      Effect.sync(() => {
        const subscription = new StoreSubscription({
          store,
          wire,
          directory,
          group,
          logger,
          now,
          random: Math.random,
          sleep: (ms) => sleep(ms, undefined, { ref: false }),
          onConfiguration: (table, source) => {
            if (!gateway.configure(table, source)) return;
            coldCaps.setServices(table.services, bounds, now());
            updateEngines();
          },
          onEndpointRecord: (record, seen) => {
            if (!coldCaps.observe(record, seen, now())) return;
            const { id, service, coldMs } = record;
            logger.info({ endpoint: id, service, coldMs, ...seen }, 'endpoint taken as cold');
          },
          onReadyAgain: (record) => exclusions.reportDrained(record),
          onEndpointsChanged: updateEngines,
          onRelayReceived: (kind, result) => metrics.countRelay(kind, result),
          onUnusable: (kind) => metrics.countUnusableEntry(kind),
        });
        lateBound.storeSubscription.set(subscription);
        subscription.start();
        return subscription;
      }),
      (subscription) => Effect.sync(() => subscription.stop()),
    );

    const statusAddresses = yield* startStatusServers({
      ...options,
      gateway,
      directory,
      drains,
      storeSubscription,
      group,
      placements,
      crashes,
      endpointLimits,
      exclusions,
      reach,
      metrics,
      now,
    });

    let reviewedAt = now();
    const reviewWhenDue = (): void => {
      if (!reach.isIsolated && forwarder.inProgress === 0) return;
      if (now() - reviewedAt < REVIEW_INTERVAL_MS) return;
      reviewedAt = now();
      gateway.reviewInFlight(reviewedAt);
    };
    yield* Effect.acquireRelease(
      Effect.sync(() =>
        runPeriodically(() => {
          pauses.check();
          group.tick(now());
          storeSubscription.tick();
          drainSubscription.tick();
          placements.tick();
          crashes.tick();
          limits.tick();
          reach.tick();
          rollouts.tick();
          reviewWhenDue();
          const isCalm =
            !placements.hasWaitingTickets &&
            drains.timing === undefined &&
            storeSubscription.viewAge(now()).ageMs < YOUNG_VIEW_MS;
          return isCalm ? CALM_TICK_INTERVAL_MS : TICK_INTERVAL_MS;
        }),
      ),
      (stop) => Effect.sync(stop),
    );
    yield* Effect.addFinalizer(() => Effect.sync(() => rollouts.stop()));
    const addresses = {
      callers: server.address,
      peers: peers.address,
      ...statusAddresses,
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
