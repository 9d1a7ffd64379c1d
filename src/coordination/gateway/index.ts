export { ChangeLog } from './ChangeLog.ts';
export type { ChangeSpan } from './ChangeLog.ts';
export { chooseForwardPeer } from './chooseForwardPeer.ts';
export { CallerRetryDetector } from './CallerRetryDetector.ts';
export { CrashAttribution } from './CrashAttribution.ts';
export type { CrashCulprit, CrashedRun } from './CrashAttribution.ts';
export { EndpointAvailability } from './EndpointAvailability.ts';
export { EndpointDirectory, EXPIRY_OUTAGE_MS } from './EndpointDirectory.ts';
export type { EndpointChange } from './EndpointDirectory.ts';
export { EndpointExclusions } from './EndpointExclusions.ts';
export type { EndpointExclusion } from './EndpointExclusions.ts';
export { EndpointLimits } from './EndpointLimits.ts';
export type { LimitObservation } from './EndpointLimits.ts';
export { EndpointReach, SILENCE_MS } from './EndpointReach.ts';
export type { ReachChange } from './EndpointReach.ts';
export { EngineSpeed } from './EngineSpeed.ts';
export { pickService } from './pickService.ts';
export { CrashQuarantine } from './CrashQuarantine.ts';
export type { QuarantineDecision } from './CrashQuarantine.ts';
export { ObjectRevisions } from './ObjectRevisions.ts';
export { PlainEndpointSelector } from './PlainEndpointSelector.ts';
export type { PlainCandidates, PlainSelection } from './PlainEndpointSelector.ts';
export { PlainServiceBalancer } from './PlainServiceBalancer.ts';
export { PlacementScheduler } from './PlacementScheduler.ts';
export type { PlacementDecision } from './PlacementScheduler.ts';
export { QuotaLimiter } from './QuotaLimiter.ts';
export { RelianceMonitor, isBehind } from './RelianceMonitor.ts';
export type { KnownRevisions } from './RelianceMonitor.ts';
export { ViewFreshness } from './ViewFreshness.ts';
export type { Confirmation, ConfirmationPath } from './ViewFreshness.ts';
export { RequestCrashAttribution } from './RequestCrashAttribution.ts';
export { RetryBudget } from './RetryBudget.ts';
export { storeRetryDelay } from './storeRetryDelay.ts';
export { RouteIndex } from './RouteIndex.ts';
export type { RouteMatch } from './RouteIndex.ts';
export { RelayedRevisions } from './RelayedRevisions.ts';
export {
  CATCH_UP_WAIT_MS,
  CONNECT_TIMEOUT_MS,
  TICK_INTERVAL_MS,
  WATCH_ANSWER_MS,
  WATCH_WAIT_MS,
  relianceMs,
} from './viewTiming.ts';
