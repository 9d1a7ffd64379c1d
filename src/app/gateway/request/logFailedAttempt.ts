import type { Logger } from 'pino';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import type { AnswerFraming, ConnectionUse } from '../../../transport/http/index.ts';
import type { RoutedRequest } from './RoutedRequest.ts';

/** How an attempt ended that was not served. */
export interface FailedAttempt {
  readonly ticket: string | undefined;
  readonly outcome: string;
  readonly detail: string;
  /** Status of the answer; 0 if there was none. */
  readonly status: number;
  /** Id of the request that the answer names. */
  readonly answerId: string | undefined;
  /** What the connection had carried before the request; undefined if the request wasn't written. */
  readonly connection: ConnectionUse | undefined;
  readonly framing: AnswerFraming | undefined;
  readonly retryAfterMs: number | undefined;
  /** Complete events that were received. */
  readonly events: number;
  readonly unfinishedBytes: number;
  /** Time since the request was sent, in ms. */
  readonly afterMs: number;
}

/**
 * Logs an attempt at an endpoint that was not served.
 *
 * @param logger - receives the line
 * @param request - the request that was sent
 * @param endpoint - the endpoint that it was sent to
 * @param attempt - how the attempt ended
 */
export const logFailedAttempt = (
  logger: Logger,
  { id, fields }: RoutedRequest,
  { id: endpoint, address }: EndpointRecord,
  attempt: FailedAttempt,
): void =>
  logger.info(
    { request: id, endpoint, address, ...attempt, promptParts: fields.sharedPromptParts },
    'try ended',
  );
