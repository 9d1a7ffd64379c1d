import type { Logger } from 'pino';
import type {
  EndpointDirectory,
  PlainEndpoints,
  RetryBudget,
} from '../../coordination/gateway/index.ts';
import type { WireAdapter } from '../../protocol/gateway/index.ts';
import type { ConnectionPool } from '../../transport/http/index.ts';
import type { GatewayMetrics } from './GatewayMetrics.ts';
import type { PlacementCoordinator } from './PlacementCoordinator.ts';
import type { RequestHandler } from './RequestHandler.ts';

/** What a request needs of the process that serves it. */
export interface GatewayContext {
  readonly wire: WireAdapter;
  readonly directory: EndpointDirectory;
  readonly plainEndpoints: PlainEndpoints;
  readonly retryBudget: RetryBudget;
  readonly placements: PlacementCoordinator;
  readonly endpointPool: ConnectionPool;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  /** A random number from 0 up to 1. */
  readonly random: () => number;
  /** Gateways that share budgets. */
  readonly memberCount: () => number;
  readonly onFinished: (handler: RequestHandler) => void;
}
