export { ChangeLog } from './following/ChangeLog.ts';
export type { ChangeSpan, RevisionGap } from './following/ChangeLog.ts';
export { ColdStartCaps } from './limits/ColdStartCaps.ts';
export type { ColdPart } from './limits/ColdStartCaps.ts';
export { chooseForwardPeer } from './reach/chooseForwardPeer.ts';
export { CallerRetryDetector } from './routing/CallerRetryDetector.ts';
export { CrashAttribution } from './crashes/CrashAttribution.ts';
export type { CrashCulprit, CrashedRun } from './crashes/CrashAttribution.ts';
export { DomainDrains } from './following/DomainDrains.ts';
export type { DrainChange, DrainObstacle } from './following/DomainDrains.ts';
export { EndpointAvailability } from './placement/EndpointAvailability.ts';
export { EndpointDirectory } from './following/EndpointDirectory.ts';
export type { EndpointChange } from './following/EndpointDirectory.ts';
export { EndpointExclusions } from './reach/EndpointExclusions.ts';
export type { EndpointExclusion } from './reach/EndpointExclusions.ts';
export { EndpointLimits } from './limits/EndpointLimits.ts';
export type { LimitObservation } from './limits/EndpointLimits.ts';
export { EndpointOwners } from './limits/EndpointOwners.ts';
export { EndpointReach, SILENCE_MS } from './reach/EndpointReach.ts';
export type { ReachChange } from './reach/EndpointReach.ts';
export { EngineSpeed } from './placement/EngineSpeed.ts';
export { FirstByteTimes, sizeGroupOf } from './placement/FirstByteTimes.ts';
export type { FirstByteReport, RequestGroup } from './placement/FirstByteTimes.ts';
export { HedgePolicy, estimateHedges } from './placement/HedgePolicy.ts';
export type {
  HedgeAccount,
  HedgeEstimate,
  HedgeLimit,
  SlowRequest,
} from './placement/HedgePolicy.ts';
export { chooseCallerAddresses, type CallerLocation } from './routing/chooseCallerAddresses.ts';
export { mayAdmitInDrain, type Drain } from './routing/mayAdmitInDrain.ts';
export { pickService } from './routing/pickService.ts';
export { CrashQuarantine } from './crashes/CrashQuarantine.ts';
export type { QuarantineDecision } from './crashes/CrashQuarantine.ts';
export { ObjectRevisions } from './following/ObjectRevisions.ts';
export { PeerClocks } from './following/PeerClocks.ts';
export { PauseDetector } from './following/PauseDetector.ts';
export type { Pause } from './following/PauseDetector.ts';
export { PlainEndpointSelector } from './placement/PlainEndpointSelector.ts';
export type { PlainCandidates, PlainSelection } from './placement/PlainEndpointSelector.ts';
export { PlainServiceBalancer } from './placement/PlainServiceBalancer.ts';
export { PlacementScheduler } from './placement/PlacementScheduler.ts';
export type { PlacementDecision } from './placement/PlacementDecision.ts';
export { EVERY_CANDIDATE } from './rollouts/CandidateFilter.ts';
export type { CandidateFilter } from './rollouts/CandidateFilter.ts';
export { RolloutDriver } from './rollouts/RolloutDriver.ts';
export type { RolloutOutcome } from './rollouts/RolloutDriver.ts';
export { RolloutGate } from './rollouts/RolloutGate.ts';
export { QuotaLimiter } from './limits/QuotaLimiter.ts';
export { QuotaQueue } from './limits/QuotaQueue.ts';
export type { QuotaRequest } from './limits/QuotaQueue.ts';
export { RelianceMonitor, isBehind } from './following/RelianceMonitor.ts';
export type { KnownRevisions } from './following/RelianceMonitor.ts';
export { graceUntil } from './following/retainUntil.ts';
export { StoreCallSchedule } from './following/StoreCallSchedule.ts';
export type { DueCall, FailedCalls, StoreCallTiming } from './following/StoreCallSchedule.ts';
export { StoreContact } from './following/StoreContact.ts';
export type { ContactSpan, Outage } from './following/StoreContact.ts';
export { ViewFreshness } from './following/ViewFreshness.ts';
export type { Confirmation, ConfirmationPath, ViewKind } from './following/ViewFreshness.ts';
export { RequestCrashAttribution } from './crashes/RequestCrashAttribution.ts';
export { deriveResourceLimits } from './limits/deriveResourceLimits.ts';
export type { ResourceLimits } from './limits/deriveResourceLimits.ts';
export { CallerMemoryLimit } from './limits/CallerMemoryLimit.ts';
export { AnswerMemory } from './limits/AnswerMemory.ts';
export type { HeldAnswer } from './limits/AnswerMemory.ts';
export { RetryBudget } from './limits/RetryBudget.ts';
export { RouteIndex } from './routing/RouteIndex.ts';
export type { RouteMatch } from './routing/RouteIndex.ts';
export { RelayedRevisions } from './following/RelayedRevisions.ts';
export {
  CATCH_UP_WAIT_MS,
  CONNECT_TIMEOUT_MS,
  CALM_TICK_INTERVAL_MS,
  LATE_ANSWER_MS,
  TICK_INTERVAL_MS,
  YOUNG_VIEW_MS,
  relianceMs,
} from './following/viewTiming.ts';
