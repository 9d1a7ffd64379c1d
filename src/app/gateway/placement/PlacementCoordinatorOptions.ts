import type { Logger } from 'pino';
import type {
  CandidateFilter,
  EndpointLimits,
  QuotaLimiter,
} from '../../../coordination/gateway/index.ts';
import type { Account } from '../../../state/gateway/index.ts';
import type { CrashMonitor } from '../crashes/CrashMonitor.ts';
import type { GatewayMetrics } from '../GatewayMetrics.ts';
import type { PeerGroup } from '../PeerGroup.ts';
import type { HedgeMonitor } from './HedgeMonitor.ts';

/** Collaborators of a placement coordinator. */
export interface PlacementCoordinatorOptions {
  /** Returns the peer group, which is created later than the coordinator. */
  readonly group: () => PeerGroup;
  readonly quotas: QuotaLimiter;
  readonly limits: EndpointLimits;
  /** Selects the engines that a request may use by their versions. */
  readonly candidates?: CandidateFilter;
  readonly crashes: CrashMonitor;
  /** Present where second copies of slow requests are allowed. */
  readonly hedging?: HedgeMonitor | undefined;
  readonly findAccount: (name: string) => Account | undefined;
  /** Returns the version of the configuration in force; 0 before the first one. */
  readonly configurationVersion: () => number;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}
