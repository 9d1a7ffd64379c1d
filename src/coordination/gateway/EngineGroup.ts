import type { PlacementTicket } from '../../protocol/peer/Placement.ts';
import { firstTokenAfter } from './EngineEstimate.ts';
import type { EngineLoad } from './EngineLoad.ts';

/** What a request may expect of a group of engines. */
export interface Forecast {
  /** Of the fastest engine, if it had nothing else to do. */
  readonly firstTokenMs: number;
  /** Time for which it would hold a slot, of the mean engine. */
  readonly slotMs: number;
  /** Time that it takes of the mean engine: reading is done alone, tokens are made for all slots at once. */
  readonly engineMs: number;
}

/** An engine whose failure rate is so far above the mean of all is only probed. */
const FAILURE_MARGIN = 0.3;
/** Requests that an engine gets at once while it is only probed. */
const PROBES = 1;
/** Keeps ratios to the time that a request takes finite. */
const LEAST_ENGINE_MS = 0.1;

/** The engines of a service at one moment, with their speeds taken together. */
export class EngineGroup {
  readonly engines: readonly EngineLoad[];

  readonly #fastestRead: number;

  readonly #meanRead: number;

  readonly #meanDecode: number;

  readonly #meanSlots: number;

  readonly #meanFailureRate: number;

  constructor(engines: readonly EngineLoad[]) {
    this.engines = engines;
    const reads = engines.map(({ speed: estimate }) => estimate.readMsPerToken);
    const mean = (values: readonly number[]): number =>
      values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
    this.#fastestRead = Math.min(...reads);
    this.#meanRead = mean(reads);
    this.#meanDecode = mean(engines.map(({ speed: estimate }) => estimate.decodeMsPerToken));
    this.#meanFailureRate = mean(engines.map(({ condition }) => condition.failureRate));
    this.#meanSlots = Math.max(1, mean(engines.map(({ record }) => record.slots)));
  }

  /**
   * Tells how many requests an engine may run now. One that fails much more than the others gets few:
   * it ends what it gets soonest, and would draw everything.
   *
   * @param engine - an engine of the group
   * @param slots - what it may run while it is sound
   */
  slotLimit(engine: EngineLoad, slots: number): number {
    const isFailing = engine.condition.failureRate > this.#meanFailureRate + FAILURE_MARGIN;
    return isFailing ? Math.min(PROBES, slots) : slots;
  }

  /** Tells how long a request would take; without engines there is no first token. */
  forecast({ promptTokens, outputTokens }: PlacementTicket): Forecast {
    const decodeMs = outputTokens * this.#meanDecode;
    return {
      firstTokenMs: firstTokenAfter(promptTokens, this.#fastestRead),
      slotMs: firstTokenAfter(promptTokens, this.#meanRead) + decodeMs,
      engineMs: Math.max(
        LEAST_ENGINE_MS,
        promptTokens * this.#meanRead + decodeMs / this.#meanSlots,
      ),
    };
  }
}
