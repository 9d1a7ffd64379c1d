import type { Logger } from 'pino';
import type { PlacementDecision } from '../../../coordination/gateway/index.ts';

/**
 * Logs one decision of the scheduler with the values that it depended on.
 *
 * @param logger - log of the process
 * @param decision - grant or refusal
 * @param waiting - number of tickets that remain in the queue
 */
export const logPlacementDecision = (
  logger: Logger,
  decision: PlacementDecision,
  waiting: number,
): void => {
  const { ticket, owner } = decision;
  const common = {
    ticket: ticket.id,
    owner,
    route: ticket.route,
    ...(ticket.account !== undefined && { account: ticket.account }),
    accountPriority: ticket.accountPriority,
    priority: ticket.priority,
    ...(decision.aboveShare === true && { aboveShare: true }),
    ...(ticket.retriedAfterMs !== undefined && {
      retriedAfterMs: Math.round(ticket.retriedAfterMs),
    }),
    waitedMs: Math.round(decision.waitedMs),
    waiting,
    ...(decision.isDelayedByCap && { isDelayedByCap: true }),
  };
  switch (decision._tag) {
    case 'grant': {
      const { endpoint, engineGroup, freeSlots: free, firstTokenMs } = decision;
      const expectedFirstTokenMs = Math.round(firstTokenMs);
      logger.info({ ...common, endpoint, engineGroup, free, expectedFirstTokenMs }, 'slot granted');
      return;
    }
    case 'refuse': {
      const { reason, retryAfterMs, expectedWaitMs, engines } = decision;
      const roundedWaitMs = Math.round(expectedWaitMs);
      logger.info(
        { ...common, reason, retryAfterMs, expectedWaitMs: roundedWaitMs, ...engines },
        'slot refused',
      );
      return;
    }
    default:
      decision satisfies never;
  }
};
