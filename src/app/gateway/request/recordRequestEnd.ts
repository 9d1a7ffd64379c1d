import type { GatewayContext } from '../GatewayContext.ts';
import type { AttemptWriting, RequestAttempt } from './RequestAttempt.ts';
import type { RoutedRequest } from './RoutedRequest.ts';
import type { ViewAge } from '../following/StoreSubscription.ts';

/** How a request ended, as logs and metrics state it. */
export type RequestOutcome =
  | 'served'
  /** An error answer of an endpoint was forwarded. */
  | 'endpointFailed'
  /** The request was not executed and will not be. */
  | 'refused'
  /** The request may have been executed. */
  | 'failed'
  /** The connection was closed before the end of the answer. */
  | 'brokenOff'
  | 'callerLeft';

/** How a request ended, and what it took. */
export interface RequestEnd {
  readonly outcome: RequestOutcome;
  /** HTTP status of the answer; 0 if none was completed. */
  readonly status: number;
  readonly reason: string;
  /** Placements and forwardings. */
  readonly offers: number;
  /** Attempts in which an endpoint may have executed the request. */
  readonly runs: number;
  readonly firstByteMs: number;
  readonly totalMs: number;
}

const describeViewAge = (view: ViewAge | undefined) =>
  view === undefined ? {} : { viewAgeMs: Math.round(view.ageMs), viewPath: view.path };

const describeWriting = (writing: AttemptWriting | undefined) =>
  writing === undefined
    ? {}
    : { writtenAfterMs: Math.round(writing.afterMs), listing: writing.listing };

/**
 * Logs and counts the end of a request; a forwarded one is logged by both gateways under its id.
 *
 * @param context - components of the process
 * @param request - the request
 * @param attempt - its last attempt, if it had one
 * @param end - how it ended
 */
export const recordRequestEnd = (
  { logger, metrics }: Pick<GatewayContext, 'logger' | 'metrics'>,
  request: RoutedRequest,
  attempt: RequestAttempt | undefined,
  end: RequestEnd,
): void => {
  const { id, route, account, service, configurationVersion, fields, forwarded, waitedBeforeMs } =
    request;
  const { outcome, status, firstByteMs } = end;
  if (forwarded !== undefined) metrics.countForwarding('received', outcome);
  metrics.countRequest(route.name, outcome, status);
  if (outcome === 'served') metrics.recordFirstByteLatency(route.name, firstByteMs);
  logger.info(
    {
      request: id,
      route: route.name,
      account: account?.name,
      service: service.name,
      ...end,
      ...(attempt?.kind === 'peer' ? { peer: attempt.target } : { endpoint: attempt?.target }),
      forwardedBy: forwarded?.from,
      framing: attempt?.framing,
      ...attempt?.streamProgress,
      promptTokens: fields.promptTokens,
      maximumOutputTokens: fields.maximumOutputTokens,
      expectedOutputTokens: fields.expectedOutputTokens,
      deadlineMs: fields.deadlineMs,
      waitedBeforeMs,
      configurationVersion,
      ...describeViewAge(attempt?.viewAge),
      ...describeWriting(attempt?.writing),
    },
    'request ended',
  );
};
