import type { IncomingMessage } from 'node:http';

/** How the end of an answer is marked; `close` means by the end of its connection alone. */
export type AnswerFraming = 'length' | 'chunked' | 'close';

/** Statuses whose answers never have a body, so that their head is their end. */
const BODILESS_STATUSES: ReadonlySet<number | undefined> = new Set([204, 304]);

/** The coding that marks the end of an answer. Node's parser reads one in any other coding up to the end of its connection. */
const CHUNKED = 'chunked';
/** Stands for no coding in older versions of HTTP. */
const IDENTITY = 'identity';

const codingOf = ({ headers }: Pick<IncomingMessage, 'headers'>): string =>
  (headers['transfer-encoding'] ?? IDENTITY).trim().toLowerCase();

/**
 * Checks that the body of an answer is in no transfer coding but chunks. No other one is asked for or decoded, and the line
 * that names it concerns one connection only, so that a caller would take the coded bytes for the answer.
 *
 * @param response - an answer whose head has been parsed
 * @returns why the body can't be read; undefined if it can
 */
export const findCodingFault = (response: Pick<IncomingMessage, 'headers'>): string | undefined => {
  const coding = codingOf(response);
  return coding === CHUNKED || coding === IDENTITY
    ? undefined
    : `the transfer coding ${coding} wasn't asked for`;
};

/**
 * Returns how the end of an answer is marked, if `findCodingFault` finds no fault.
 *
 * @param response - an answer whose head has been parsed
 * @param method - method of the request
 */
export const framingOf = (
  response: Pick<IncomingMessage, 'headers' | 'statusCode'>,
  method: string,
): AnswerFraming => {
  if (method === 'HEAD' || BODILESS_STATUSES.has(response.statusCode)) return 'length';
  if (codingOf(response) === CHUNKED) return 'chunked';
  return response.headers['content-length'] === undefined ? 'close' : 'length';
};
