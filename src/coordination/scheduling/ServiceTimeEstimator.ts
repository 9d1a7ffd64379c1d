import type { CallRecord } from '../../protocol/peer/PeerMessage.ts';
import type { Endpoint } from '../../state/Endpoint.ts';
import { DecodeTimeRegression } from './DecodeTimeRegression.ts';
import { RunningLogMean } from './RunningLogMean.ts';

const MS_PER_SECOND = 1_000;
/** Time for a request to reach an endpoint and its first byte to come back, without any work. */
const REQUEST_OVERHEAD_MS = 3;
const MINIMUM_DECODE_SAMPLE_TOKENS = 4;
/** Latency assumed of a plain service before it has answered once. */
const DEFAULT_LATENCY_MS = 50;
const MAXIMUM_ROUTES = 64;

/** What a request asks of an endpoint. */
export interface ServiceDemand {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
  readonly route: string;
  /** Prompt tokens of other requests that are still to be computed there, and share the prefill. */
  readonly backlogTokens: number;
}

const REFERENCE_DEMAND: ServiceDemand = {
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
export class ServiceTimeEstimator {
  readonly #prefillMsPerToken: number;

  readonly #prefillFactor = new RunningLogMean();

  readonly #decodeTime: DecodeTimeRegression;

  readonly #routeLatencies = new Map<string, RunningLogMean>();

  readonly #configuredReferenceMs: number;

  /** @param endpoint - its configured rates are the first guess */
  constructor(endpoint: Endpoint) {
    this.#prefillMsPerToken = MS_PER_SECOND / endpoint.prefillTokensPerSecond;
    this.#decodeTime = new DecodeTimeRegression(MS_PER_SECOND / endpoint.decodeTokensPerSecond, endpoint.slots);
    this.#configuredReferenceMs = this.#estimateReference();
  }

  /**
   * Expects a request's time at the endpoint.
   *
   * @param work - the request's size
   * @param concurrency - requests that run there, this one included
   * @returns the time to the whole answer, in ms
   */
  estimate(work: ServiceDemand, concurrency: number): number {
    if (isPlainService(work)) return this.#estimateLatency(work.route);
    return this.estimateFirstToken(work) + work.outputTokens * this.#decodeTime.predict(concurrency);
  }

  /** Expects the time to the first token, in ms. */
  estimateFirstToken(work: ServiceDemand): number {
    return REQUEST_OVERHEAD_MS + prefillTokensOf(work) * this.#prefillMsPerToken * Math.exp(this.#prefillFactor.value);
  }

  /** @returns how many times slower the endpoint is now than its configured rates */
  get slowdown(): number {
    return this.#estimateReference() / this.#configuredReferenceMs;
  }

  /**
   * Learns from a completed call.
   *
   * @param work - the request's size as it was expected
   * @param record - what the call showed
   * @param concurrency - requests that ran beside it on average, itself included
   */
  observeCompleted(work: ServiceDemand, record: CallRecord, concurrency: number): void {
    if (isPlainService(work)) {
      this.#observeLatency(work.route, record.totalMs);
      return;
    }
    const promptTokens = record.promptTokens > 0 ? record.promptTokens : work.promptTokens;
    const { cachedTokens, outputTokens, firstTokenMs, totalMs } = record;
    const found: ServiceDemand = { ...work, promptTokens, cachedTokens };
    const expectedMs = this.estimateFirstToken(found);
    const weight = Math.min(1, expectedMs / 30);
    const observedMs = Math.max(1, firstTokenMs - REQUEST_OVERHEAD_MS);
    const unscaledMs = prefillTokensOf(found) * this.#prefillMsPerToken;
    this.#prefillFactor.observe(Math.log(observedMs / unscaledMs), weight);
    if (outputTokens < MINIMUM_DECODE_SAMPLE_TOKENS) return;
    this.#decodeTime.observe(concurrency, Math.max(0.01, (totalMs - firstTokenMs) / outputTokens));
  }

  /**
   * Learns from a call that was stopped: it would have taken at least as long.
   *
   * @param work - the request's size as it was expected
   * @param elapsedMs - time that it ran
   * @param concurrency - requests that ran beside it on average, itself included
   */
  observeCancelled(work: ServiceDemand, elapsedMs: number, concurrency: number): void {
    if (elapsedMs <= this.estimate(work, concurrency)) return;
    if (isPlainService(work)) {
      this.#observeLatency(work.route, elapsedMs);
      return;
    }
    const decodeMs = elapsedMs - this.estimateFirstToken(work);
    if (work.outputTokens >= MINIMUM_DECODE_SAMPLE_TOKENS) {
      this.#decodeTime.observe(concurrency, decodeMs / work.outputTokens);
    }
  }

  #estimateReference(): number {
    const plain = [...this.#routeLatencies.values()];
    if (plain.length > 0) {
      return Math.exp(plain.reduce((sum, { value }) => sum + value, 0) / plain.length);
    }
    return this.estimate(REFERENCE_DEMAND, 1);
  }

  #estimateLatency(route: string): number {
    const known = this.#routeLatencies.get(route) ?? this.#routeLatencies.values().next().value;
    return known === undefined ? DEFAULT_LATENCY_MS : Math.exp(known.value);
  }

  #observeLatency(route: string, totalMs: number): void {
    const held = this.#routeLatencies.get(route);
    if (held === undefined && this.#routeLatencies.size >= MAXIMUM_ROUTES) return;
    const latency = held ?? new RunningLogMean();
    latency.observe(Math.log(Math.max(1, totalMs)), 1);
    this.#routeLatencies.set(route, latency);
  }
}

function prefillTokensOf({ promptTokens, cachedTokens, backlogTokens }: ServiceDemand): number {
  return Math.max(1, promptTokens - cachedTokens) + backlogTokens;
}

function isPlainService({ promptTokens, outputTokens }: ServiceDemand): boolean {
  return promptTokens === 0 && outputTokens === 0;
}
