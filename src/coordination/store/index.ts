export { writeConditionally } from './writeConditionally.ts';
export type { ConditionalWrite, ConditionalWriteResult } from './writeConditionally.ts';
export { LeaseHolder } from './LeaseHolder.ts';
export type { LeaseHolderOptions } from './LeaseHolder.ts';
