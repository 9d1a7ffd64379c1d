import type { EndpointCondition } from './EndpointAvailability.ts';

/**
 * Leaves out endpoints that can't be reached, and those that just failed several requests in a row
 * while others are left.
 *
 * @param endpoints - any endpoints
 * @param conditionOf - gives the condition of one
 * @param now - present time in ms
 * @returns those that may get a request
 */
export const preferTrusted = <T>(
  endpoints: readonly T[],
  conditionOf: (endpoint: T) => EndpointCondition,
  now: number,
): readonly T[] => {
  const reachable = endpoints.filter((endpoint) => conditionOf(endpoint).isReachable(now));
  const trusted = reachable.filter((endpoint) => conditionOf(endpoint).isTrusted(now));
  return trusted.length > 0 ? trusted : reachable;
};
