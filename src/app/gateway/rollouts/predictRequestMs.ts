import type { PlacementScheduler } from '../../../coordination/gateway/index.ts';

/** Part of a response's time that depends on no size. */
const OVERHEAD_MS = 10;
/** For a service without engines: every request is expected to take equally long. */
const PLAIN_MS = 20;

/**
 * Makes a prediction of response times by size, from the present mean speed of a service's engines. It stays the
 * same for a roll-out, since estimates that follow a slow version would hide its slowness.
 *
 * @param service - the service
 * @param engines - the engines of all services
 * @returns a function from prompt and output tokens to ms
 */
export const predictRequestMs = (
  service: string,
  engines: ReturnType<PlacementScheduler['engines']>,
): ((promptTokens: number, outputTokens: number) => number) => {
  const speeds = engines
    .filter(({ record }) => record.service === service)
    .map(({ speed }) => speed);
  if (speeds.length === 0) return () => PLAIN_MS;
  const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const prefillMs = mean(speeds.map(({ prefillMsPerToken }) => prefillMsPerToken));
  const decodeMs = mean(speeds.map(({ decodeMsPerToken }) => decodeMsPerToken));
  return (promptTokens, outputTokens) =>
    OVERHEAD_MS + promptTokens * prefillMs + outputTokens * decodeMs;
};
