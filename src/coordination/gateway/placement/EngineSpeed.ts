import { RunningLogMean } from '../../scheduling/RunningLogMean.ts';

/** Assumed speeds until the first samples, which replace them within a few requests. */
const DEFAULT_PREFILL_MS_PER_TOKEN = 0.02;
const DEFAULT_DECODE_MS_PER_TOKEN = 6;
/** Part of the time to first token that doesn't depend on the prompt. */
const FIRST_TOKEN_OVERHEAD_MS = 20;
/** Times of shorter prompts and answers are dominated by the network, not by the engine. */
const MINIMUM_SAMPLE_TOKENS = { prefill: 500, decode: 15 } as const;

/**
 * Estimates the time to first token.
 *
 * @param prefillTokens - prompt tokens that the engine processes before the first token
 * @param prefillMsPerToken - prefill time per prompt token, in ms
 * @returns time from sending the request to its first token, in ms
 */
export const estimateFirstTokenMs = (prefillTokens: number, prefillMsPerToken: number): number =>
  FIRST_TOKEN_OVERHEAD_MS + prefillTokens * prefillMsPerToken;

/** Prefill and decode speed of one engine, estimated from the requests that it has run. */
export class EngineSpeed {
  /** Mean logarithm of the ratio of the prefill time per token to the default. */
  readonly #prefillLogRatio = new RunningLogMean();

  /** Mean logarithm of the ratio of the decode time per token to the default. */
  readonly #decodeLogRatio = new RunningLogMean();

  #prefillSampleCount = 0;

  /** Prefill time per prompt token, in ms. */
  prefillMsPerToken = DEFAULT_PREFILL_MS_PER_TOKEN;

  /** Decode time per output token, in ms. */
  decodeMsPerToken = DEFAULT_DECODE_MS_PER_TOKEN;

  /**
   * Updates the prefill speed from a time to first token. Short prompts are ignored.
   *
   * @param prefillTokens - prompt tokens processed before the first token, including those of
   *   requests that were queued ahead
   * @param firstTokenMs - time from sending the request to its first token, in ms
   */
  recordPrefill(prefillTokens: number, firstTokenMs: number): void {
    if (prefillTokens < MINIMUM_SAMPLE_TOKENS.prefill) return;
    const msPerToken = Math.max(1, firstTokenMs - FIRST_TOKEN_OVERHEAD_MS) / prefillTokens;
    this.#prefillLogRatio.observe(Math.log(msPerToken / DEFAULT_PREFILL_MS_PER_TOKEN), 1);
    this.#prefillSampleCount += 1;
    this.#updateSpeeds();
  }

  /**
   * Updates the decode speed from a finished answer. Short answers are ignored.
   *
   * @param outputTokens - number of tokens after the first
   * @param decodeMs - time from the first token to the last, in ms
   */
  recordDecode(outputTokens: number, decodeMs: number): void {
    if (outputTokens < MINIMUM_SAMPLE_TOKENS.decode || decodeMs <= 0) return;
    this.#decodeLogRatio.observe(
      Math.log(decodeMs / outputTokens / DEFAULT_DECODE_MS_PER_TOKEN),
      1,
    );
    this.#updateSpeeds();
  }

  /**
   * Records another process's estimates as samples, unless a prefill was recorded here.
   *
   * @param prefillMsPerToken - prefill time per prompt token, in ms
   * @param decodeMsPerToken - decode time per output token, in ms
   */
  seed(prefillMsPerToken: number, decodeMsPerToken: number): void {
    if (this.#prefillSampleCount > 0) return;
    this.#prefillLogRatio.observe(Math.log(prefillMsPerToken / DEFAULT_PREFILL_MS_PER_TOKEN), 1);
    this.#decodeLogRatio.observe(Math.log(decodeMsPerToken / DEFAULT_DECODE_MS_PER_TOKEN), 1);
    this.#updateSpeeds();
  }

  /** Number of requests whose prefill was recorded. */
  get prefillSampleCount(): number {
    return this.#prefillSampleCount;
  }

  /**
   * Estimates the time to first token at this engine.
   *
   * @param prefillTokens - prompt tokens that the engine processes before the first token
   * @returns time from sending the request to its first token, in ms
   */
  estimateFirstTokenMs(prefillTokens: number): number {
    return estimateFirstTokenMs(prefillTokens, this.prefillMsPerToken);
  }

  #updateSpeeds(): void {
    this.prefillMsPerToken = DEFAULT_PREFILL_MS_PER_TOKEN * Math.exp(this.#prefillLogRatio.value);
    this.decodeMsPerToken = DEFAULT_DECODE_MS_PER_TOKEN * Math.exp(this.#decodeLogRatio.value);
  }
}
