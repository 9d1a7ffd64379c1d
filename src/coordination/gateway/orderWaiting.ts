import type { PlacementTicket } from '../../protocol/peer/Placement.ts';
import type { EngineGroup } from './EngineGroup.ts';
import type { RouteSizes } from './RouteSizes.ts';
import type { ServedShares } from './ServedShares.ts';

/** A request in the queue. */
export interface WaitingPlacement {
  /** Incarnation of the gateway that it came to. */
  readonly owner: string;
  readonly ticket: PlacementTicket;
  readonly arrivedAt: number;
}

/** Share of its requests that a route gets before any rank counts, so that none is starved. */
const LEAST_SERVED_SHARE = 0.2;

/** What orders a queue besides the tickets in it. */
export interface QueueView {
  readonly group: EngineGroup;
  readonly shares: ServedShares;
  readonly sizes: RouteSizes;
  /** Present time in ms. */
  readonly now: number;
}

/** The requests that must not be starved as a group: those of a route, and the largest of them. */
export const shareGroup = (ticket: PlacementTicket, sizes: RouteSizes): string =>
  sizes.isLarge(ticket) ? `${ticket.route}/large` : ticket.route;

/**
 * Orders what waits: first groups that get too little, then what can still be on time, then by rank,
 * and within a rank by what the answers are worth for the time that they take, so that as many
 * callers as possible are served.
 *
 * @param waiting - the queue
 * @param view - engines, and what is known of the routes
 * @returns the queue in the order in which slots are given out
 */
export const orderWaiting = (
  waiting: readonly WaitingPlacement[],
  { group, shares, sizes, now }: QueueView,
): WaitingPlacement[] => {
  const keyed = waiting.map((entry) => {
    const { ticket, arrivedAt } = entry;
    const { firstTokenMs, engineMs } = group.forecast(ticket);
    const leftMs = ticket.targetMs - (now - arrivedAt) - firstTokenMs;
    return {
      entry,
      starved: shares.grantRatio(shareGroup(ticket, sizes), now) < LEAST_SERVED_SHARE ? 0 : 1,
      late: leftMs < 0 ? 1 : 0,
      worthPerMs: sizes.worth(ticket) / engineMs,
    };
  });
  keyed.sort(
    (a, b) =>
      a.starved - b.starved ||
      a.late - b.late ||
      a.entry.ticket.accountPriority - b.entry.ticket.accountPriority ||
      a.entry.ticket.priority - b.entry.ticket.priority ||
      b.worthPerMs - a.worthPerMs,
  );
  return keyed.map(({ entry }) => entry);
};
