import { calibrationOf, type EngineShape } from './EngineModel.ts';
import type { LoadRequest } from './loadPattern.ts';

/** Time that a request takes of an engine of slowness 1 whose batch is full. */
const engineMs = ({ promptTokens, outputTokens }: LoadRequest, engine: EngineShape): number => {
  const { stepMs, stepMsPerRequest, promptTokensPerMs } = calibrationOf(engine);
  return (
    promptTokens / promptTokensPerMs +
    (outputTokens * (stepMs + stepMsPerRequest * engine.slots)) / engine.slots
  );
};

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
  const [engine] = engines;
  if (engine === undefined) return 0;
  // The last requests may end after the last has come.
  const latestMs = Math.max(...load.map(({ kind }) => kind.targetMs));
  const capacity = engines.reduce(
    (sum, { slowness }) => sum + (durationMs + latestMs) / slowness,
    0,
  );
  const items = load
    .map((request) => ({
      worth: request.kind.worth * request.weight,
      ms: engineMs(request, engine),
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
