import type { Logger } from 'pino';
import type { PlacementDecision } from '../../coordination/gateway/index.ts';

/**
 * Writes one line for a decision of the scheduler, with what decided it.
 *
 * @param logger - the process's log
 * @param decision - grant or refusal
 * @param waiting - tickets left in the queue
 */
export const logPlacement = (
  logger: Logger,
  decision: PlacementDecision,
  waiting: number,
): void => {
  const { ticket, owner } = decision;
  const common = {
    ticket: ticket.id,
    owner,
    priority: ticket.priority,
    waitedMs: Math.round(decision.waitedMs),
    waiting,
  };
  switch (decision._tag) {
    case 'grant': {
      const { endpoint, freeSlots: free, firstTokenMs } = decision;
      const expectedFirstTokenMs = Math.round(firstTokenMs);
      logger.info({ ...common, endpoint, free, expectedFirstTokenMs }, 'slot granted');
      return;
    }
    case 'refuse': {
      const { reason, retryAfterMs, expectedWaitMs } = decision;
      const rounded = Math.round(expectedWaitMs);
      logger.info({ ...common, reason, retryAfterMs, expectedWaitMs: rounded }, 'slot refused');
      return;
    }
    default:
      decision satisfies never;
  }
};
