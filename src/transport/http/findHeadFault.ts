import * as http from 'node:http';
import type { IncomingMessage } from 'node:http';
import { findCodingFault } from './framingOf.ts';

/** Lower ones belong to interim answers, or to none. */
const LOWEST_FINAL_STATUS = 200;
/** Higher ones are in no class of statuses, so that a caller can't tell what they mean. */
const HIGHEST_STATUS = 599;
/** Within a head it shows that an answer without its end stands before another one, and that the parser took both for one. */
const STATUS_LINE = /HTTP\/1\.[01] \d{3}/;

/**
 * Checks what HTTP demands of an answer's head, beyond what Node's parser does: the parser takes any three digits as the
 * status and spaces within header names, for which writing the head to a caller would throw.
 *
 * @param response - an answer whose head has been parsed
 * @returns why the head is no head of an HTTP answer; undefined if it is one
 */
export const findHeadFault = (
  response: Pick<IncomingMessage, 'statusCode' | 'statusMessage' | 'headers' | 'rawHeaders'>,
): string | undefined => {
  const { statusCode = 0, statusMessage = '', rawHeaders } = response;
  if (statusCode < LOWEST_FINAL_STATUS || statusCode > HIGHEST_STATUS)
    return `status ${statusCode} ends no answer`;
  if ([statusMessage, ...rawHeaders].some((part) => STATUS_LINE.test(part)))
    return 'the heads of two answers are joined';
  try {
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
      const name = rawHeaders[index] ?? '';
      http.validateHeaderName(name);
      http.validateHeaderValue(name, rawHeaders[index + 1] ?? '');
    }
    return findCodingFault(response);
  } catch (error) {
    return (error as Error).message;
  }
};
