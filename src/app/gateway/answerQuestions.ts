import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import { makePlainServer, type PlainAnswer } from '../../transport/gateway/index.ts';
import { answerAddresses } from './answerAddresses.ts';
import type { Gateway } from './Gateway.ts';
import type { GatewayMetrics } from './GatewayMetrics.ts';
import type { PeerGroup } from './PeerGroup.ts';
import type { PlacementDesk } from './PlacementDesk.ts';
import type { GatewayOptions } from './runGateway.ts';
import type { StoreFollower } from './StoreFollower.ts';

/** What the answers are made from. */
export interface QuestionSources extends Pick<
  GatewayOptions,
  'settings' | 'paths' | 'formatAddresses' | 'log'
> {
  readonly gateway: Gateway;
  readonly follower: StoreFollower;
  readonly group: PeerGroup;
  readonly desk: PlacementDesk;
  readonly metrics: GatewayMetrics;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

/** Where the questions are answered, `IP:PORT` each. */
export interface QuestionAddresses {
  readonly readiness: string;
  readonly directory: string;
  readonly metrics: string;
}

/** Callers keep addresses this long; short, so that a stopping instance is left soon. */
const ADDRESSES_KEEP_MS = 2_000;
const METRICS_PATH = '/metrics';

/**
 * Answers the small questions: whether this process is ready, which addresses callers may use, and
 * what the metrics are. The servers close with the scope.
 *
 * @param sources - what the answers are made from
 * @returns where they are answered
 */
export const answerQuestions = ({
  settings,
  paths,
  formatAddresses,
  log,
  gateway,
  follower,
  group,
  desk,
  metrics,
  now,
}: QuestionSources): Effect.Effect<QuestionAddresses, never, Scope.Scope> => {
  const isReady = (): boolean =>
    gateway.phase._tag === 'serving' && gateway.routeIndex !== undefined && follower.endpointsKnown;
  const keepMs = Math.min(ADDRESSES_KEEP_MS, settings.bounds.addressesKeepMs);
  const listAddresses = (): PlainAnswer => {
    const addresses = answerAddresses(group.serving(), group.cutOff(now()));
    if (addresses.length === 0) return { status: 503 };
    const text = formatAddresses(addresses, keepMs);
    return { status: 200, contentType: 'application/json', text };
  };
  const renderMetrics = async (): Promise<PlainAnswer> => {
    const text = await metrics.render({
      configurationVersion: gateway.routeIndex?.table.version ?? 0,
      members: group.alive().length,
      ...desk.counts(),
      droppedLogLines: log.dropped(),
    });
    return { status: 200, text };
  };
  const onProblem = (detail: string): void => log.logger.warn({ detail }, 'question not answered');
  // One that can't listen yet doesn't hold up the others.
  const servers = {
    readiness: makePlainServer(
      settings.readiness,
      ({ pathname }) =>
        pathname === paths.readiness ? { status: isReady() ? 200 : 503 } : undefined,
      onProblem,
    ),
    directory: makePlainServer(
      settings.directory,
      ({ pathname }) => (pathname === paths.addresses ? listAddresses() : undefined),
      onProblem,
    ),
    metrics: makePlainServer(
      settings.metrics,
      ({ pathname }) => (pathname === METRICS_PATH ? renderMetrics() : undefined),
      onProblem,
    ),
  };
  return Effect.all(servers, { concurrency: 'unbounded' });
};
