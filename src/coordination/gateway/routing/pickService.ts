import type { Route } from '../../../state/gateway/index.ts';

/**
 * Picks one of a route's services at random, in proportion to their weights.
 *
 * @param route - the route
 * @param fraction - a random number in [0, 1)
 * @returns the service's name; empty if the route has no services
 */
export const pickService = (route: Route, fraction: number): string => {
  const totalWeight = route.services.reduce((sum, { weight }) => sum + Math.max(0, weight), 0);
  let remainingWeight = fraction * totalWeight;
  const chosen = route.services.find(({ weight }) => {
    remainingWeight -= Math.max(0, weight);
    return remainingWeight < 0;
  });
  return (chosen ?? route.services[0])?.service ?? '';
};
