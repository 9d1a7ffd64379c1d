import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import { GrantRatios } from './GrantRatios.ts';
import type { RouteMeanSizes } from './RouteMeanSizes.ts';

/**
 * A size group is behind below this part of its route's grant ratio. One that is served less than half as often as
 * the rest of its route counts as starved; the margin is for the time in which the ratio recovers.
 */
const MINIMUM_RELATIVE_GRANT_RATIO = 0.6;

/**
 * Grant ratios of the size groups of each route: the largest tenth, the fifth below it, and the rest. Small requests
 * go first within a route, so the larger ones need a bound.
 */
export class SizeShares {
  readonly #ratios = new GrantRatios();

  readonly #routeSizes: RouteMeanSizes;

  /** @param routeSizes - mean sizes, which decide the group of a request */
  constructor(routeSizes: RouteMeanSizes) {
    this.#routeSizes = routeSizes;
  }

  /** Counts a request. */
  recordRequest(ticket: PlacementTicket, now: number): void {
    this.#ratios.recordRequest(ticket.route, now);
    this.#ratios.recordRequest(this.#groupOf(ticket), now);
  }

  /** Counts a granted slot. */
  recordGrant(ticket: PlacementTicket, now: number): void {
    this.#ratios.recordGrant(ticket.route, now);
    this.#ratios.recordGrant(this.#groupOf(ticket), now);
  }

  /** Whether the size group of a request is served far less often than its whole route. */
  isBehind(ticket: PlacementTicket, now: number): boolean {
    const size = this.#routeSizes.sizeGroup(ticket);
    if (size === 'rest') return false;
    return (
      this.#ratios.grantRatio(this.#groupOf(ticket), now) <
      this.#ratios.grantRatio(ticket.route, now) * MINIMUM_RELATIVE_GRANT_RATIO
    );
  }

  #groupOf(ticket: PlacementTicket): string {
    return `${ticket.route}/${this.#routeSizes.sizeGroup(ticket)}`;
  }
}
