import type { EndpointAvailability } from './EndpointAvailability.ts';

/**
 * Filters out unreachable endpoints, and unhealthy ones unless no healthy endpoint is reachable.
 *
 * @param endpoints - the candidates
 * @param availabilityOf - returns the availability of an endpoint
 * @param now - current time, in ms
 * @param isReachable - whether an endpoint may get a request; unless given, from some gateway
 * @returns the endpoints that may get a request; empty if none is reachable
 */
export const preferHealthy = <T>(
  endpoints: readonly T[],
  availabilityOf: (endpoint: T) => EndpointAvailability,
  now: number,
  isReachable = (availability: EndpointAvailability): boolean => availability.isReachable(now),
): readonly T[] => {
  const reachable = endpoints.filter((endpoint) => isReachable(availabilityOf(endpoint)));
  const healthy = reachable.filter((endpoint) => availabilityOf(endpoint).isHealthy(now));
  return healthy.length > 0 ? healthy : reachable;
};
