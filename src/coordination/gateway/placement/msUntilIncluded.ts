import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';

/**
 * Returns the time for which a ticket excludes an endpoint.
 *
 * @param ticket - the ticket
 * @param endpoint - id of the endpoint
 * @param waitedMs - time since the ticket arrived
 * @returns the time in ms; 0 if the endpoint isn't excluded, infinite if that has no known end
 */
export const msUntilIncluded = (
  { excluded }: PlacementTicket,
  endpoint: string,
  waitedMs: number,
): number => {
  const exclusion = excluded?.find((one) => one.endpoint === endpoint);
  if (exclusion === undefined) return 0;
  return exclusion.forMs === undefined
    ? Number.POSITIVE_INFINITY
    : Math.max(0, exclusion.forMs - waitedMs);
};
