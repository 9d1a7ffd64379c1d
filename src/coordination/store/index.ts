export { settleWrite } from './settleWrite.ts';
export type { ConditionalWrite, SettledWrite } from './settleWrite.ts';
