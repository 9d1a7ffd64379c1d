import type { EngineLoad } from '../../../coordination/gateway/placement/EngineLoad.ts';

/** Estimated speed of one engine, as gateways exchange it. */
export interface EngineSpeedEstimate {
  readonly endpoint: string;
  /** Prefill time per prompt token, in ms. */
  readonly readMsPerToken: number;
  /** Time per output token, in ms. */
  readonly decodeMsPerToken: number;
}

/**
 * Lists the measured speeds that another scheduler needs to take over.
 *
 * @param engines - state of the engines
 * @returns estimates of the engines whose prefill was measured
 */
export const listEngineSpeeds = (engines: readonly EngineLoad[]): EngineSpeedEstimate[] =>
  engines
    .filter(({ speed }) => speed.prefillSampleCount > 0)
    .map(({ record, speed }) => ({
      endpoint: record.id,
      readMsPerToken: speed.prefillMsPerToken,
      decodeMsPerToken: speed.decodeMsPerToken,
    }));
