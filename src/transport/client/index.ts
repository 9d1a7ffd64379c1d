export type { Caller, CallerCall, CallerOptions, CallOutcome } from './Caller.ts';
export { drainEntry } from './drainEntry.ts';
export type { DrainResult } from './drainEntry.ts';
export { makeCaller } from './makeCaller.ts';
