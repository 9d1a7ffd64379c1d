import type { CallRecord } from '../../protocol/peer/PeerMessage.ts';
import type { Endpoint } from '../../state/Endpoint.ts';
import { DecodeLine } from './DecodeLine.ts';
import { LogMean } from './LogMean.ts';

const MS_PER_SECOND = 1_000;
/** Time for a request to reach an endpoint and its first byte to come back, without any work. */
const OVERHEAD_MS = 3;
const LEAST_TOKENS_FOR_RATE = 4;
/** Latency assumed of a plain service before it has answered once. */
const DEFAULT_LATENCY_MS = 50;
const MAXIMUM_ROUTES = 64;

/** What a request asks of an endpoint. */
export interface Work {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
  readonly route: string;
  /** Prompt tokens of other requests that are still to be computed there, and share the prefill. */
  readonly backlogTokens: number;
}

const REFERENCE_WORK: Work = {
  promptTokens: 512,
  cachedTokens: 0,
  outputTokens: 64,
  route: '',
  backlogTokens: 0,
};

/**
 * How fast one endpoint serves, learned from the calls that it completed. Configured rates are only
 * the start. Plain services, whose requests have no tokens, are known by their latency per route.
 */
export class ServiceRate {
  readonly #prefillMsPerToken: number;

  readonly #prefill = new LogMean();

  readonly #decode: DecodeLine;

  readonly #latencies = new Map<string, LogMean>();

  readonly #nominal: number;

  /** @param endpoint - its configured rates are the first guess */
  constructor(endpoint: Endpoint) {
    this.#prefillMsPerToken = MS_PER_SECOND / endpoint.prefillTokensPerSecond;
    this.#decode = new DecodeLine(MS_PER_SECOND / endpoint.decodeTokensPerSecond, endpoint.slots);
    this.#nominal = this.#reference();
  }

  /**
   * Expects a request's time at the endpoint.
   *
   * @param work - the request's size
   * @param concurrency - requests that run there, this one included
   * @returns the time to the whole answer, in ms
   */
  estimate(work: Work, concurrency: number): number {
    if (isPlain(work)) return this.#latency(work.route);
    return this.firstToken(work) + work.outputTokens * this.#decode.predict(concurrency);
  }

  /** Expects the time to the first token, in ms. */
  firstToken(work: Work): number {
    return OVERHEAD_MS + prefillOf(work) * this.#prefillMsPerToken * Math.exp(this.#prefill.value);
  }

  /** @returns how many times slower the endpoint is now than its configured rates */
  get slowdown(): number {
    return this.#reference() / this.#nominal;
  }

  /**
   * Learns from a completed call.
   *
   * @param work - the request's size as it was expected
   * @param record - what the call showed
   * @param concurrency - requests that ran beside it on average, itself included
   */
  learn(work: Work, record: CallRecord, concurrency: number): void {
    if (isPlain(work)) {
      this.#learnLatency(work.route, record.totalMs);
      return;
    }
    const promptTokens = record.promptTokens > 0 ? record.promptTokens : work.promptTokens;
    const { cachedTokens, outputTokens, firstTokenMs, totalMs } = record;
    const found: Work = { ...work, promptTokens, cachedTokens };
    const expectedMs = this.firstToken(found);
    const weight = Math.min(1, expectedMs / 30);
    const observedMs = Math.max(1, firstTokenMs - OVERHEAD_MS);
    const unscaledMs = prefillOf(found) * this.#prefillMsPerToken;
    this.#prefill.learn(Math.log(observedMs / unscaledMs), weight);
    if (outputTokens < LEAST_TOKENS_FOR_RATE) return;
    this.#decode.learn(concurrency, Math.max(0.01, (totalMs - firstTokenMs) / outputTokens));
  }

  /**
   * Learns from a call that was stopped: it would have taken at least as long.
   *
   * @param work - the request's size as it was expected
   * @param elapsedMs - time that it ran
   * @param concurrency - requests that ran beside it on average, itself included
   */
  learnAtLeast(work: Work, elapsedMs: number, concurrency: number): void {
    if (elapsedMs <= this.estimate(work, concurrency)) return;
    if (isPlain(work)) {
      this.#learnLatency(work.route, elapsedMs);
      return;
    }
    const decodeMs = elapsedMs - this.firstToken(work);
    if (work.outputTokens >= LEAST_TOKENS_FOR_RATE) {
      this.#decode.learn(concurrency, decodeMs / work.outputTokens);
    }
  }

  #reference(): number {
    const plain = [...this.#latencies.values()];
    if (plain.length > 0) {
      return Math.exp(plain.reduce((sum, { value }) => sum + value, 0) / plain.length);
    }
    return this.estimate(REFERENCE_WORK, 1);
  }

  #latency(route: string): number {
    const known = this.#latencies.get(route) ?? this.#latencies.values().next().value;
    return known === undefined ? DEFAULT_LATENCY_MS : Math.exp(known.value);
  }

  #learnLatency(route: string, totalMs: number): void {
    const held = this.#latencies.get(route);
    if (held === undefined && this.#latencies.size >= MAXIMUM_ROUTES) return;
    const latency = held ?? new LogMean();
    latency.learn(Math.log(Math.max(1, totalMs)), 1);
    this.#latencies.set(route, latency);
  }
}

function prefillOf({ promptTokens, cachedTokens, backlogTokens }: Work): number {
  return Math.max(1, promptTokens - cachedTokens) + backlogTokens;
}

function isPlain({ promptTokens, outputTokens }: Work): boolean {
  return promptTokens === 0 && outputTokens === 0;
}
