import type { Logger } from 'pino';
import type { Decision } from '../state/Decision.ts';

/**
 * Logs a decision as one line, with its tag under the key `decision` and as the message.
 *
 * @param logger - logger to write to
 * @param decision - decision to log
 */
export const logDecision = (logger: Logger, { _tag, ...fields }: Decision): void => {
  logger.info({ decision: _tag, ...fields }, _tag);
};
