import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import { estimateFirstTokenMs } from './EngineSpeed.ts';
import type { EngineLoad } from './EngineLoad.ts';
import type { EngineSpeedGroup } from './PlacementDecision.ts';

/** Expected times of a request in a group of engines. */
export interface RequestForecast {
  /** Time to first token at the engine with the fastest prefill when it is idle, in ms. */
  readonly firstTokenMs: number;
  /** Time for which the request holds a slot of an engine of mean speed, in ms. */
  readonly slotHoldMs: number;
  /**
   * Engine time that the request uses at mean speed, in ms. Prefill takes the whole engine; a
   * decode step is shared by all slots.
   */
  readonly engineTimeMs: number;
}

/**
 * An engine whose failure rate exceeds the group's mean by more than this gets only single requests,
 * which probe whether it has recovered.
 */
const PROBE_ONLY_FAILURE_MARGIN = 0.3;
/** Concurrent requests at such an engine. */
const PROBE_CONCURRENCY = 1;
/** Speeds are estimates, so that engines up to this multiple of the mean time per token count as fast. */
const EQUAL_SPEED_FACTOR = 1.2;
/** Lower bound that keeps the value per ms of engine time finite. */
const MINIMUM_ENGINE_TIME_MS = 0.1;

/** Snapshot of the usable engines of a service, with their mean speeds and failure rate. */
export class EngineGroup {
  readonly engines: readonly EngineLoad[];

  readonly #fastestPrefillMsPerToken: number;

  readonly #meanPrefillMsPerToken: number;

  readonly #meanDecodeMsPerToken: number;

  readonly #meanSlots: number;

  readonly #meanFailureRate: number;

  constructor(engines: readonly EngineLoad[]) {
    this.engines = engines;
    const prefillMsPerToken = engines.map(({ speed }) => speed.prefillMsPerToken);
    const mean = (values: readonly number[]): number =>
      values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
    this.#fastestPrefillMsPerToken = Math.min(...prefillMsPerToken);
    this.#meanPrefillMsPerToken = mean(prefillMsPerToken);
    this.#meanDecodeMsPerToken = mean(engines.map(({ speed }) => speed.decodeMsPerToken));
    this.#meanFailureRate = mean(engines.map(({ availability }) => availability.failureRate));
    this.#meanSlots = Math.max(1, mean(engines.map(({ record }) => record.slots)));
  }

  /**
   * Limits the concurrent requests of an engine. An engine that fails far more often than the
   * others is limited to probes: failed requests end soonest, so it would otherwise attract all
   * traffic.
   *
   * @param engine - an engine of the group
   * @param slots - its limit unless it fails far more often than the others
   * @returns the number of requests that it may run at once
   */
  slotLimit(engine: EngineLoad, slots: number): number {
    const isFailing =
      engine.availability.failureRate > this.#meanFailureRate + PROBE_ONLY_FAILURE_MARGIN;
    return isFailing ? Math.min(PROBE_CONCURRENCY, slots) : slots;
  }

  /** Returns whether an engine prefills faster than the mean of the group; engines of equal speed are fast. */
  speedGroup({ speed }: EngineLoad): EngineSpeedGroup {
    return speed.prefillMsPerToken <= this.#meanPrefillMsPerToken * EQUAL_SPEED_FACTOR
      ? 'fast'
      : 'slow';
  }

  /**
   * Estimates the times of a request from its prompt and its expected output.
   *
   * @param ticket - the request
   * @returns its expected times; an infinite time to first token if the group is empty
   */
  forecast({ promptTokens, outputTokens }: PlacementTicket): RequestForecast {
    const decodeMs = outputTokens * this.#meanDecodeMsPerToken;
    return {
      firstTokenMs: estimateFirstTokenMs(promptTokens, this.#fastestPrefillMsPerToken),
      slotHoldMs: estimateFirstTokenMs(promptTokens, this.#meanPrefillMsPerToken) + decodeMs,
      engineTimeMs: Math.max(
        MINIMUM_ENGINE_TIME_MS,
        promptTokens * this.#meanPrefillMsPerToken + decodeMs / this.#meanSlots,
      ),
    };
  }
}
