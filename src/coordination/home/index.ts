export { Home } from './Home.ts';
export type { HomeStep, HomeSurroundings, QuotaAnswer } from './HomeStep.ts';
export type { HomeRequest } from './RequestRecord.ts';
export { Inquiry } from './Inquiry.ts';
export { ClockGuard } from './ClockGuard.ts';
export { OwnIncarnations } from './OwnIncarnations.ts';
export { requestIdPrefix } from './RequestWindow.ts';
export { SchedulerChoice } from './SchedulerChoice.ts';
