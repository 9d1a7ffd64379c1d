import type { EngineShape } from './EngineModel.ts';
import type { LoadRequest } from './loadPattern.ts';

const READ_TOKENS_PER_MS = 66.2;
const STEP_MS = 3.88;
const STEP_MS_PER_REQUEST = 0.0276;

/** Time that a request takes of an engine of slowness 1 whose batch is full. */
const engineMs = ({ promptTokens, outputTokens }: LoadRequest, slots: number): number =>
  promptTokens / READ_TOKENS_PER_MS +
  (outputTokens * (STEP_MS + STEP_MS_PER_REQUEST * slots)) / slots;

/**
 * Gives a bound on the worth that any schedule of the load can earn, one that knows all lengths and
 * all arrivals beforehand included: engines are full all the time, requests can be cut at will, and
 * those with the most worth for their engine time go first, whenever they come.
 *
 * @param load - all requests
 * @param engines - the engines
 * @param durationMs - time in which requests come
 * @returns the bound as a share of the worth asked for
 */
export const boundOf = (
  load: readonly LoadRequest[],
  engines: readonly EngineShape[],
  durationMs: number,
): number => {
  const slots = engines[0]?.slots ?? 1;
  // The last requests may end after the last has come.
  const latestMs = Math.max(...load.map(({ kind }) => kind.targetMs));
  const capacity = engines.reduce(
    (sum, { slowness }) => sum + (durationMs + latestMs) / slowness,
    0,
  );
  const items = load
    .map((request) => ({
      worth: request.kind.worth * request.weight,
      ms: engineMs(request, slots),
    }))
    .sort((a, b) => b.worth / b.ms - a.worth / a.ms);
  let left = capacity;
  const earned = items.reduce((sum, { worth, ms }) => {
    const part = Math.max(0, Math.min(1, left / ms));
    left -= ms;
    return sum + part * worth;
  }, 0);
  return earned / items.reduce((sum, { worth }) => sum + worth, 0);
};
