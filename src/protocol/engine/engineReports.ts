import * as Schema from 'effect/Schema';

/** An engine's report of its own load. It is stale on arrival, so it corrects estimates and never replaces them. */
export const LoadReport = Schema.Struct({
  /** Age of the report when it was sent. */
  ageMs: Schema.Finite,
  /** Requests that the engine processes. */
  running: Schema.Int,
  /** Requests in the engine's own queue. */
  waiting: Schema.Int,
  /** Fraction of the KV cache memory in use, 0 to 1. */
  cacheUsed: Schema.Finite,
});
export type LoadReport = typeof LoadReport.Type;

/** A change of an engine's prefix cache. A gap in the sequence numbers means that events were lost. */
export const CacheEvent = Schema.Struct({
  sequence: Schema.Int,
  operation: Schema.Literals(['stored', 'evicted', 'cleared']),
  /** Hash of the prompt prefix, see `hashPromptPrefixes`. */
  prefix: Schema.String,
});
export type CacheEvent = typeof CacheEvent.Type;
