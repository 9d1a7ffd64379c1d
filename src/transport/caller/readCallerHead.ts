import type { IncomingMessage } from 'node:http';
import * as Schema from 'effect/Schema';
import type { CallerError, CallerRequest } from '../../protocol/caller/CallerService.ts';
import {
  DEADLINE_HEADER,
  FORWARDED_HEADER,
  IDEMPOTENT_HEADER,
  REQUEST_ID_HEADER,
  requestHeadersToPassOn,
} from '../../protocol/caller/headers.ts';
import { RequestId } from '../../state/RequestId.ts';
import type { Limits } from '../../state/EntrySettings.ts';

const BAD_REQUEST = 400;
// Secrets that operators choose may hold spaces.
const BEARER = /^Bearer +(\S.*)$/i;
const WHOLE_NUMBER = /^\d{1,9}$/;
const isRequestId = Schema.is(RequestId);

/** A caller's request without its body. */
export type CallerHead = Omit<CallerRequest, 'body'>;

/** What a request's head was found to be. */
export type HeadOutcome =
  | { readonly _tag: 'read'; readonly head: CallerHead }
  | { readonly _tag: 'malformed'; readonly error: CallerError };

const malformed = (code: string, message: string): HeadOutcome => ({
  _tag: 'malformed',
  error: { status: BAD_REQUEST, code, message },
});

const single = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value.join(', ') : value;

/**
 * Gives the account key that a request presents.
 *
 * @param request - the request
 * @returns the key, empty where there is none
 */
export const readKey = (request: IncomingMessage): string =>
  BEARER.exec(request.headers.authorization ?? '')?.[1] ?? '';

/**
 * Reads the head of a caller's request.
 *
 * @param request - the request
 * @param limits - bounds of the deadline
 * @returns the head, or what is wrong with it
 */
export const readCallerHead = (request: IncomingMessage, limits: Limits): HeadOutcome => {
  const { headers } = request;
  const id = single(headers[REQUEST_ID_HEADER]);
  if (id !== undefined && !isRequestId(id)) {
    return malformed(
      'malformed_request_id',
      'X-Request-Id must be a requestIdPrefix of GET /v1/entries, followed by letters, digits, _ or -.',
    );
  }
  const deadline = single(headers[DEADLINE_HEADER]);
  const remainingMs = deadline === undefined ? undefined : Number(deadline);
  if (
    deadline !== undefined &&
    !(
      WHOLE_NUMBER.test(deadline) &&
      Number(deadline) > 0 &&
      Number(deadline) <= limits.maximumDeadlineMs
    )
  ) {
    return malformed(
      'malformed_deadline',
      `X-Deadline-Ms must be a whole number of ms from 1 to ${limits.maximumDeadlineMs}.`,
    );
  }
  const idempotent = single(headers[IDEMPOTENT_HEADER]);
  if (idempotent !== undefined && idempotent !== 'true' && idempotent !== 'false') {
    return malformed('malformed_idempotent', 'X-Idempotent must be true or false.');
  }
  return {
    _tag: 'read',
    head: {
      id,
      accountKey: readKey(request),
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: requestHeadersToPassOn(headers),
      remainingMs,
      idempotent: idempotent === undefined ? undefined : idempotent === 'true',
      forwarded: headers[FORWARDED_HEADER] !== undefined,
    },
  };
};
