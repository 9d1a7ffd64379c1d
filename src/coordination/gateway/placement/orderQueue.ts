import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { AccountShares } from './AccountShares.ts';
import type { EngineGroup } from './EngineGroup.ts';
import type { RouteMeanSizes } from './RouteMeanSizes.ts';
import type { GrantRatios } from './GrantRatios.ts';

/** A request that waits for a slot. */
export interface WaitingPlacement {
  /** Incarnation of the gateway that received it. */
  readonly owner: string;
  readonly ticket: PlacementTicket;
  /** When the scheduler received it, in ms. */
  readonly arrivedAt: number;
}

/** A fairness group with a lower grant ratio precedes all priorities, so that no group starves. */
const MINIMUM_GRANT_RATIO = 0.2;

/** State that determines the order of a queue besides its tickets. */
export interface QueueContext {
  readonly group: EngineGroup;
  readonly grantRatios: GrantRatios;
  readonly routeSizes: RouteMeanSizes;
  readonly accountShares: AccountShares;
  /** Current time, in ms. */
  readonly now: number;
}

/**
 * Returns the key of a request's fairness group. Each group gets some slots; a route's large requests
 * form a group of their own, so that its small ones don't starve them.
 *
 * @param ticket - the request
 * @param routeSizes - mean sizes, which decide what is large
 * @returns the group's key
 */
export const fairnessGroup = (ticket: PlacementTicket, routeSizes: RouteMeanSizes): string =>
  routeSizes.isLarge(ticket) ? `${ticket.route}/large` : ticket.route;

/**
 * Orders waiting requests: starved fairness groups first, then requests that can still be on time,
 * then by the client account's priority, accounts within their shares before those above, then by the
 * route's priority, lower numbers first, then late callers that
 * retry before other late ones, as their second rejection costs them more, and last by value per engine
 * time, so that as many callers as possible are served.
 *
 * @param waiting - the waiting requests
 * @param context - engines, grant ratios and mean sizes
 * @returns the requests in the order in which slots are granted
 */
export const orderQueue = (
  waiting: readonly WaitingPlacement[],
  { group, grantRatios, routeSizes, accountShares, now }: QueueContext,
): WaitingPlacement[] => {
  const isAboveShare = accountShares.findAboveShare(now);
  const ranked = waiting.map((queued) => {
    const { ticket, arrivedAt } = queued;
    const { firstTokenMs, engineTimeMs } = group.forecast(ticket);
    const slackMs = ticket.targetMs - (now - arrivedAt) - firstTokenMs;
    return {
      queued,
      starvationRank:
        grantRatios.grantRatio(fairnessGroup(ticket, routeSizes), now) < MINIMUM_GRANT_RATIO
          ? 0
          : 1,
      shareRank: isAboveShare(ticket) ? 1 : 0,
      latenessRank: slackMs < 0 ? 1 : 0,
      retryRank: slackMs < 0 && ticket.retriedAfterMs !== undefined ? 0 : 1,
      valuePerMs: routeSizes.answerValue(ticket) / engineTimeMs,
    };
  });
  ranked.sort(
    (a, b) =>
      a.starvationRank - b.starvationRank ||
      a.latenessRank - b.latenessRank ||
      a.queued.ticket.accountPriority - b.queued.ticket.accountPriority ||
      a.shareRank - b.shareRank ||
      a.queued.ticket.priority - b.queued.ticket.priority ||
      a.retryRank - b.retryRank ||
      b.valuePerMs - a.valuePerMs,
  );
  return ranked.map(({ queued }) => queued);
};
