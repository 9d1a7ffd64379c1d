import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import {
  chooseCallerAddresses,
  type DomainDrains,
  type EndpointDirectory,
  type EndpointLimits,
} from '../../coordination/gateway/index.ts';
import { makePlainServer, type PlainAnswer } from '../../transport/gateway/index.ts';
import type { CrashMonitor } from './crashes/CrashMonitor.ts';
import type { ExclusionMonitor } from './reach/ExclusionMonitor.ts';
import type { Gateway } from './Gateway.ts';
import type { GatewayMetrics } from './GatewayMetrics.ts';
import type { PeerGroup } from './PeerGroup.ts';
import type { PlacementCoordinator } from './placement/PlacementCoordinator.ts';
import type { ReachMonitor } from './reach/ReachMonitor.ts';
import type { GatewayOptions } from './GatewayOptions.ts';
import type { StoreSubscription } from './following/StoreSubscription.ts';

/** Components whose status is served, and the addresses and paths of the servers. */
export interface StatusSources extends Pick<
  GatewayOptions,
  'settings' | 'paths' | 'readCallerLocation' | 'formatAddresses' | 'log'
> {
  readonly gateway: Gateway;
  readonly directory: EndpointDirectory;
  readonly drains: DomainDrains;
  readonly storeSubscription: StoreSubscription;
  readonly group: PeerGroup;
  readonly placements: PlacementCoordinator;
  readonly crashes: CrashMonitor;
  readonly endpointLimits: EndpointLimits;
  readonly exclusions: ExclusionMonitor;
  readonly reach: ReachMonitor;
  readonly metrics: GatewayMetrics;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

/** Bound addresses of the status servers, `IP:PORT` each. */
export interface StatusAddresses {
  readonly readiness: string;
  /** Server of the list of addresses for callers. */
  readonly directory: string;
  readonly metrics: string;
}

/**
 * Upper bound of the time for which callers cache addresses, so that they soon stop using an instance
 * that is stopping.
 */
const MAXIMUM_ADDRESS_CACHE_MS = 2_000;
const METRICS_PATH = '/metrics';

/**
 * Starts the servers for readiness probes, the list of caller addresses and the metrics. They close
 * with the scope.
 *
 * @param sources - components whose status is served
 * @returns the bound addresses
 */
export const startStatusServers = ({
  settings,
  paths,
  readCallerLocation,
  formatAddresses,
  log,
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
}: StatusSources): Effect.Effect<StatusAddresses, never, Scope.Scope> => {
  const isReady = (): boolean =>
    gateway.phase._tag === 'serving' &&
    gateway.routeIndex !== undefined &&
    storeSubscription.endpointsListed &&
    drains.findObstacle(now()) === undefined;
  const cacheMs = Math.min(MAXIMUM_ADDRESS_CACHE_MS, settings.bounds.addressesKeepMs);
  const listAddresses = (query: URLSearchParams): PlainAnswer => {
    const addresses = chooseCallerAddresses(
      { serving: group.servingMembers(), recentlyLost: group.recentlyLostMembers(now()) },
      readCallerLocation(query),
      group.peerAddress,
    );
    if (addresses.length === 0) return { status: 503 };
    const text = formatAddresses(addresses, cacheMs);
    return { status: 200, contentType: 'application/json', text };
  };
  const renderMetrics = async (): Promise<PlainAnswer> => {
    const text = await metrics.render({
      configurationVersion: gateway.routeIndex?.table.version ?? 0,
      members: group.liveMembers().length,
      missingEndpoints: directory.missingCount,
      storeEra: storeSubscription.era,
      storeOutage: Number(storeSubscription.outagePhase(now()) !== 'none'),
      quarantinedParts: crashes.quarantined.parts,
      quarantinedRequests: crashes.quarantined.requests,
      limitedEndpoints: endpointLimits.limitedCount,
      domainDrains: drains.drained.length,
      coldEndpoints: endpointLimits.coldCaps.countCold(now()),
      excludedEndpoints: exclusions.count,
      isolated: Number(reach.isIsolated),
      ...placements.countTickets(),
      droppedLogLines: log.droppedLines(),
    });
    return { status: 200, text };
  };
  const onError = (detail: string): void => log.logger.warn({ detail }, 'question not answered');
  // The servers start concurrently, so that one that cannot listen yet doesn't delay the others.
  const servers = {
    readiness: makePlainServer(
      settings.readiness,
      ({ pathname }) =>
        pathname === paths.readiness ? { status: isReady() ? 200 : 503 } : undefined,
      onError,
    ),
    directory: makePlainServer(
      settings.directory,
      ({ pathname, searchParams }) =>
        pathname === paths.addresses ? listAddresses(searchParams) : undefined,
      onError,
    ),
    metrics: makePlainServer(
      settings.metrics,
      ({ pathname }) => (pathname === METRICS_PATH ? renderMetrics() : undefined),
      onError,
    ),
  };
  return Effect.all(servers, { concurrency: 'unbounded' });
};
