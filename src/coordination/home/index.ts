export { RequestHome } from './RequestHome.ts';
export type { HomeAction, HomeDependencies, QuotaResult } from './HomeAction.ts';
export type { HomeRequest } from './RequestRecord.ts';
export { OutcomeResolver } from './OutcomeResolver.ts';
export { ClockJumpDetector } from './ClockJumpDetector.ts';
export { OwnIncarnations } from './OwnIncarnations.ts';
export { makeRequestIdPrefix } from './RequestIdWindows.ts';
export { SchedulerSelector } from './SchedulerSelector.ts';
