import type { Logger } from 'pino';
import type { Decision } from '../state/Decision.ts';

/**
 * Writes one decision as one log line, its tag under `decision`.
 *
 * @param logger - where to write
 * @param decision - the decision
 */
export const logDecision = (logger: Logger, { _tag, ...fields }: Decision): void => {
  logger.info({ decision: _tag, ...fields }, _tag);
};
