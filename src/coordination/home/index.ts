export { RequestHome } from './Home.ts';
export type { HomeAction, HomeSurroundings, QuotaAnswer } from './HomeStep.ts';
export type { HomeRequest } from './RequestRecord.ts';
export { OutcomeResolver } from './Inquiry.ts';
export { ClockJumpDetector } from './ClockGuard.ts';
export { OwnIncarnations } from './OwnIncarnations.ts';
export { makeRequestIdPrefix } from './RequestWindow.ts';
export { SchedulerSelector } from './SchedulerChoice.ts';
