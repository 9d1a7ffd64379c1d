export { Home } from './Home.ts';
export type { HomeStep, HomeSurroundings, QuotaAnswer } from './HomeStep.ts';
export type { HomeRequest } from './RequestRecord.ts';
export { RequestWindow } from './RequestWindow.ts';
export { SchedulerChoice } from './SchedulerChoice.ts';
