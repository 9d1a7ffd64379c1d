import type { RoutedRequest } from './RoutedRequest.ts';

/** Time reserved before the caller's deadline for the transfer of the answer. */
const ANSWER_MARGIN_MS = 15;

/**
 * Returns the time by which a request must have its final answer.
 *
 * @param request - the request
 * @returns the time in ms, monotonic
 */
export const deadlineOf = ({ route, inbound, fields, forwarded }: RoutedRequest): number => {
  const waitMs = forwarded?.remainingMs ?? fields.deadlineMs ?? route.timeoutMs;
  return inbound.arrivedAt + Math.min(route.timeoutMs, Math.max(1, waitMs - ANSWER_MARGIN_MS));
};
