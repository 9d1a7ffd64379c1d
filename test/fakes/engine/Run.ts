import type { Prompt } from './promptOf.ts';

/** One request inside an engine. */
export interface Run {
  readonly id: string;
  readonly version: string;
  readonly streamed: boolean;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefixes: readonly string[];
  /** How many times longer than usual it takes. */
  readonly slowness: number;
  cachedTokens: number;
  prefillLeft: number;
  produced: number;
  /** Texts of the chunks so far, in order. */
  readonly chunks: string[];
  told: number;
  toldAt: number;
  state: 'waiting' | 'running' | 'suspended' | 'completed' | 'cancelled' | 'failed';
  /** Since when nobody reads its answer; undefined while someone does. */
  orphanedAt: number | undefined;
}

/**
 * Makes a run that waits for its slot.
 *
 * @param id - the request's id
 * @param version - version that it runs on
 * @param prompt - its sizes
 * @param slowness - how many times longer than usual it takes
 * @returns the run
 */
export const newRun = (id: string, version: string, prompt: Prompt, slowness: number): Run => ({
  id,
  version,
  slowness,
  streamed: prompt.streamed,
  promptTokens: prompt.tokens,
  outputTokens: prompt.outputTokens,
  prefixes: prompt.prefixes,
  cachedTokens: 0,
  prefillLeft: prompt.tokens,
  produced: 0,
  chunks: [],
  told: 0,
  toldAt: 0,
  state: 'waiting',
  orphanedAt: undefined,
});
