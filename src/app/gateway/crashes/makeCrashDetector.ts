import type { Logger } from 'pino';
import type { EndpointDirectory } from '../../../coordination/gateway/index.ts';
import type { ConnectionPool } from '../../../transport/http/index.ts';
import type { GatewayMetrics } from '../GatewayMetrics.ts';
import type { PeerForwarder } from '../reach/PeerForwarder.ts';
import type { ReachMonitor } from '../reach/ReachMonitor.ts';
import { CrashDetector } from './CrashDetector.ts';
import type { CrashMonitor } from './CrashMonitor.ts';

/** Collaborators of a crash detector. */
export interface CrashDetectorContext {
  /** Connections to endpoints. */
  readonly pool: ConnectionPool;
  readonly reach: ReachMonitor;
  readonly forwarder: PeerForwarder;
  readonly directory: EndpointDirectory;
  readonly crashes: CrashMonitor;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

/**
 * Makes the crash detector of a gateway.
 *
 * @param context - its collaborators
 */
export const makeCrashDetector = ({
  pool,
  reach,
  forwarder,
  directory,
  crashes,
  metrics,
  logger,
  now,
}: CrashDetectorContext): CrashDetector =>
  new CrashDetector({
    checkEndpoint: (address, onChecked) => {
      const url = `http://${address}`;
      pool.connect(url, true, (outcome) => {
        if (outcome._tag === 'connected') pool.release(url, outcome.socket);
        onChecked(outcome._tag === 'connected');
      });
    },
    checkReach: (endpointId, onVerdict) => reach.check(endpointId, onVerdict),
    isIsolatedAlone: () => reach.isIsolated && forwarder.choose([]) !== undefined,
    isExpectedToRun: (id) => directory.isExpectedToRun(id),
    onCrash: (runs, at) => crashes.recordCrash(runs, at),
    metrics,
    logger,
    now,
  });
