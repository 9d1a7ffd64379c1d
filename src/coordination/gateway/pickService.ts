import type { Route } from '../../state/gateway/index.ts';

/**
 * Picks one of a route's services by weight.
 *
 * @param route - the route
 * @param fraction - a random number from 0 up to 1
 * @returns the service's name
 */
export const pickService = (route: Route, fraction: number): string => {
  const total = route.services.reduce((sum, { weight }) => sum + Math.max(0, weight), 0);
  let left = fraction * total;
  const chosen = route.services.find(({ weight }) => {
    left -= Math.max(0, weight);
    return left < 0;
  });
  return (chosen ?? route.services[0])?.service ?? '';
};
