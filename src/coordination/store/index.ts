export { writeConditionally } from './settleWrite.ts';
export type { ConditionalWrite, SettledWrite } from './settleWrite.ts';
export { LeaseHolder } from './LeaseHolder.ts';
export type { LeaseOptions } from './LeaseHolder.ts';
