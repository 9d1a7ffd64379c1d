import type { Logger } from 'pino';
import type {
  AnswerMemory,
  EndpointDirectory,
  PlainEndpointSelector,
  PlainServiceBalancer,
  RetryBudget,
} from '../../coordination/gateway/index.ts';
import type { WireAdapter } from '../../protocol/gateway/index.ts';
import type { EndpointRecord } from '../../state/gateway/index.ts';
import type { ConnectionPool } from '../../transport/http/index.ts';
import type { CrashDetector } from './crashes/CrashDetector.ts';
import type { CrashMonitor } from './crashes/CrashMonitor.ts';
import type { EndpointLimitMonitor } from './placement/EndpointLimitMonitor.ts';
import type { ExclusionMonitor } from './reach/ExclusionMonitor.ts';
import type { HedgeMonitor } from './placement/HedgeMonitor.ts';
import type { GatewayMetrics } from './GatewayMetrics.ts';
import type { PeerForwarder } from './reach/PeerForwarder.ts';
import type { PauseMonitor } from './PauseMonitor.ts';
import type { PlacementCoordinator } from './placement/PlacementCoordinator.ts';
import type { ReachMonitor } from './reach/ReachMonitor.ts';
import type { RequestHandler } from './request/RequestHandler.ts';
import type { RolloutMonitor } from './rollouts/RolloutMonitor.ts';
import type { ViewAge } from './following/StoreSubscription.ts';

/** Components of the process that all requests share. */
export interface GatewayContext {
  readonly wire: WireAdapter;
  readonly directory: EndpointDirectory;
  readonly plainEndpoints: PlainServiceBalancer;
  readonly plainSelector: PlainEndpointSelector;
  readonly retryBudget: RetryBudget;
  /** Undefined where no second copies of slow requests are allowed. */
  readonly hedging: HedgeMonitor | undefined;
  readonly placements: PlacementCoordinator;
  readonly pauses: PauseMonitor;
  readonly crashes: CrashMonitor;
  readonly crashDetector: CrashDetector;
  readonly limits: EndpointLimitMonitor;
  readonly exclusions: ExclusionMonitor;
  readonly reach: ReachMonitor;
  readonly rollouts: RolloutMonitor;
  readonly forwarder: PeerForwarder;
  readonly endpointPool: ConnectionPool;
  /** Limits what unfinished answers hold together. */
  readonly answerMemory: AnswerMemory;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  /** A random number in [0, 1). */
  readonly random: () => number;
  /** Whether a request whose endpoint was chosen at a moment, in ms, may still be sent to it. */
  readonly maySend: (endpoint: EndpointRecord, chosenAt: number) => boolean;
  /** Returns how old the view of the store is by which requests are sent. */
  readonly viewAge: (now: number) => ViewAge;
  /** Number of gateways among which the slack of the retry budget is divided. */
  readonly memberCount: () => number;
  /** Called once for each request, after its final answer. */
  readonly onFinished: (handler: RequestHandler) => void;
}
