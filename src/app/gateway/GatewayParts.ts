import type { Logger } from 'pino';
import type {
  EndpointDirectory,
  PlainEndpoints,
  RetryBudget,
} from '../../coordination/gateway/index.ts';
import type { WireAdapter } from '../../protocol/gateway/index.ts';
import type { ConnectionPool } from '../../transport/http/index.ts';
import type { GatewayMetrics } from './GatewayMetrics.ts';
import type { PlacementDesk } from './PlacementDesk.ts';
import type { RequestRun } from './RequestRun.ts';

/** What a request needs of the process that serves it. */
export interface GatewayParts {
  readonly wire: WireAdapter;
  readonly directory: EndpointDirectory;
  readonly plain: PlainEndpoints;
  readonly budget: RetryBudget;
  readonly desk: PlacementDesk;
  readonly endpointPool: ConnectionPool;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  /** A random number from 0 up to 1. */
  readonly random: () => number;
  /** Gateways that share budgets. */
  readonly memberCount: () => number;
  readonly onDone: (run: RequestRun) => void;
}
