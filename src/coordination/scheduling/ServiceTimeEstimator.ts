import type { CallRecord } from '../../protocol/peer/PeerMessage.ts';
import type { Endpoint } from '../../state/Endpoint.ts';
import { DecodeTimeRegression } from './DecodeTimeRegression.ts';
import { RunningLogMean } from './RunningLogMean.ts';

const MS_PER_SECOND = 1_000;
/** Round-trip time of a request to an endpoint, without prefill and decoding. */
const REQUEST_OVERHEAD_MS = 3;
const MINIMUM_DECODE_SAMPLE_TOKENS = 4;
/** Latency assumed for a plain service before its first answer. */
const DEFAULT_LATENCY_MS = 50;
const MAXIMUM_ROUTES = 64;

/** Work that a request requires of an endpoint. */
export interface ServiceDemand {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
  readonly route: string;
  /** Prompt tokens of other requests at the endpoint that compete with this request's prefill. */
  readonly backlogTokens: number;
}

/** Request whose estimate is compared with its initial value to tell an endpoint's slowdown. */
const REFERENCE_DEMAND: ServiceDemand = {
  promptTokens: 512,
  cachedTokens: 0,
  outputTokens: 64,
  route: '',
  backlogTokens: 0,
};

/**
 * Estimates the service time of requests at one endpoint from its past calls. The configured rates
 * are the initial estimates. Plain services, whose requests have no tokens, are estimated by the
 * latency of each route.
 */
export class ServiceTimeEstimator {
  readonly #prefillMsPerToken: number;

  readonly #prefillFactor = new RunningLogMean();

  readonly #decodeTime: DecodeTimeRegression;

  readonly #routeLatencies = new Map<string, RunningLogMean>();

  readonly #configuredReferenceMs: number;

  /** @param endpoint - supplies the configured rates and the number of slots */
  constructor(endpoint: Endpoint) {
    this.#prefillMsPerToken = MS_PER_SECOND / endpoint.prefillTokensPerSecond;
    this.#decodeTime = new DecodeTimeRegression(
      MS_PER_SECOND / endpoint.decodeTokensPerSecond,
      endpoint.slots,
    );
    this.#configuredReferenceMs = this.#estimateReference();
  }

  /**
   * Estimates a request's service time.
   *
   * @param demand - the request's service demand
   * @param concurrency - number of running requests, this one included
   * @returns time to the end of the answer, in ms
   */
  estimate(demand: ServiceDemand, concurrency: number): number {
    if (isPlainService(demand)) return this.#estimateLatency(demand.route);
    return (
      this.estimateFirstToken(demand) + demand.outputTokens * this.#decodeTime.predict(concurrency)
    );
  }

  /**
   * Estimates the time to the first token.
   *
   * @param demand - the request's service demand
   * @returns time in ms
   */
  estimateFirstToken(demand: ServiceDemand): number {
    return (
      REQUEST_OVERHEAD_MS +
      prefillTokensOf(demand) * this.#prefillMsPerToken * Math.exp(this.#prefillFactor.value)
    );
  }

  /** @returns factor by which the endpoint is slower than its configured rates */
  get slowdown(): number {
    return this.#estimateReference() / this.#configuredReferenceMs;
  }

  /**
   * Updates the estimates with a completed call.
   *
   * @param demand - the service demand expected at the grant
   * @param record - the call's token counts and times
   * @param concurrency - requests that ran beside it on average, itself included
   */
  observeCompleted(demand: ServiceDemand, record: CallRecord, concurrency: number): void {
    if (isPlainService(demand)) {
      this.#observeLatency(demand.route, record.totalMs);
      return;
    }
    const promptTokens = record.promptTokens > 0 ? record.promptTokens : demand.promptTokens;
    const { cachedTokens, outputTokens, firstTokenMs, totalMs } = record;
    const observedDemand: ServiceDemand = { ...demand, promptTokens, cachedTokens };
    const expectedMs = this.estimateFirstToken(observedDemand);
    // A prefill that is expected to take less than 30 ms has a smaller weight.
    const weight = Math.min(1, expectedMs / 30);
    const observedMs = Math.max(1, firstTokenMs - REQUEST_OVERHEAD_MS);
    const unscaledMs = prefillTokensOf(observedDemand) * this.#prefillMsPerToken;
    this.#prefillFactor.observe(Math.log(observedMs / unscaledMs), weight);
    if (outputTokens < MINIMUM_DECODE_SAMPLE_TOKENS) return;
    this.#decodeTime.observe(concurrency, Math.max(0.01, (totalMs - firstTokenMs) / outputTokens));
  }

  /**
   * Updates the estimates with a cancelled call, whose time is a lower bound. Calls that were
   * cancelled before their estimate are ignored.
   *
   * @param demand - the service demand expected at the grant
   * @param elapsedMs - time that the call ran, in ms
   * @param concurrency - requests that ran beside it on average, itself included
   */
  observeCancelled(demand: ServiceDemand, elapsedMs: number, concurrency: number): void {
    if (elapsedMs <= this.estimate(demand, concurrency)) return;
    if (isPlainService(demand)) {
      this.#observeLatency(demand.route, elapsedMs);
      return;
    }
    const decodeMs = elapsedMs - this.estimateFirstToken(demand);
    if (demand.outputTokens >= MINIMUM_DECODE_SAMPLE_TOKENS) {
      this.#decodeTime.observe(concurrency, decodeMs / demand.outputTokens);
    }
  }

  #estimateReference(): number {
    const latencies = [...this.#routeLatencies.values()];
    if (latencies.length > 0) {
      return Math.exp(latencies.reduce((sum, { value }) => sum + value, 0) / latencies.length);
    }
    return this.estimate(REFERENCE_DEMAND, 1);
  }

  #estimateLatency(route: string): number {
    // Without calls on a route, the latency of the first known route is assumed.
    const known = this.#routeLatencies.get(route) ?? this.#routeLatencies.values().next().value;
    return known === undefined ? DEFAULT_LATENCY_MS : Math.exp(known.value);
  }

  #observeLatency(route: string, totalMs: number): void {
    const existing = this.#routeLatencies.get(route);
    if (existing === undefined && this.#routeLatencies.size >= MAXIMUM_ROUTES) return;
    const latency = existing ?? new RunningLogMean();
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
