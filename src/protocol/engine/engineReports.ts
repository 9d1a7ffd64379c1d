import * as Schema from 'effect/Schema';

/** An engine's own account of its load. It lags, so it corrects estimates and never replaces them. */
export const LoadReport = Schema.Struct({
  /** Age of the figures when they were sent. */
  ageMs: Schema.Finite,
  running: Schema.Int,
  waiting: Schema.Int,
  /** Share of KV cache memory in use, 0 to 1. */
  cacheUsed: Schema.Finite,
});
export type LoadReport = typeof LoadReport.Type;

/** One change of an engine's prefix cache. Sequence numbers may skip where events were lost. */
export const CacheEvent = Schema.Struct({
  sequence: Schema.Int,
  operation: Schema.Literals(['stored', 'evicted', 'cleared']),
  prefix: Schema.String,
});
export type CacheEvent = typeof CacheEvent.Type;
