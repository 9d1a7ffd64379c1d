import { sizeGroupOf } from '../../../coordination/gateway/index.ts';
import { EndpointAttempt, type EndpointAttemptOptions } from './EndpointAttempt.ts';
import { HedgedAttempt, type HedgedAttemptOptions } from './HedgedAttempt.ts';
import type { RequestAttempt } from './RequestAttempt.ts';
import { toHedgeAccount } from './RequestRetries.ts';

/** An attempt, and what a second copy of it depends on. */
export type HedgeableAttemptOptions = EndpointAttemptOptions &
  Pick<HedgedAttemptOptions, 'retries' | 'endpoints' | 'isReplaceable' | 'makeTicket'>;

/**
 * Creates the attempt that sends a request to an endpoint. Where the operator allows it, a second copy is sent if the
 * endpoint is slow.
 *
 * @param options - request, endpoint and collaborators
 * @returns the attempt, which isn't started
 */
export const makeEndpointAttempt = (options: HedgeableAttemptOptions): RequestAttempt => {
  const { context, request, remainingMs } = options;
  const { hedging, now } = context;
  if (hedging === undefined) return new EndpointAttempt(options);
  const { service, route, account, fields, inbound } = request;
  const size = service.engine === undefined ? (inbound.body?.length ?? 0) : fields.promptTokens;
  const deadlineAt = now() + remainingMs;
  return new HedgedAttempt({
    ...options,
    hedging,
    slowRequest: {
      group: { service: service.name, route: route.name, size: sizeGroupOf(size) },
      account: toHedgeAccount(account),
    },
    onFirstLost: (ms) => {
      if (service.engine === undefined) context.plainEndpoints.recordSlow(options.endpoint, ms);
    },
    schedule: (run, delayMs) => {
      const timer = setTimeout(run, delayMs);
      return () => clearTimeout(timer);
    },
    makeCopy: (endpoint, ticketId, onEvent) =>
      new EndpointAttempt({
        ...options,
        endpoint,
        ticketId,
        remainingMs: deadlineAt - now(),
        onEvent,
      }),
  });
};
