import * as Schema from 'effect/Schema';

const SEPARATOR = '.';
const MAXIMUM_LENGTH = 120;

/** `INCARNATION.SUFFIX`: the incarnation is the only one that may dispatch the request. */
export const RequestId = Schema.String.check(
  Schema.isPattern(/^[0-9a-z]{8,40}\.[0-9A-Za-z_-]{1,64}$/),
  Schema.isMaxLength(MAXIMUM_LENGTH),
);
export type RequestId = typeof RequestId.Type;

/**
 * Gives the incarnation that owns a request.
 *
 * @param id - a well-formed request id
 * @returns the part before the separator
 */
export const owningIncarnation = (id: RequestId): string => id.slice(0, id.indexOf(SEPARATOR));

/**
 * Makes a request id.
 *
 * @param incarnation - the entry incarnation that may dispatch the request
 * @param suffix - any text of letters, digits, `_` and `-`, unique below the incarnation
 * @returns the id
 */
export const makeRequestId = (incarnation: string, suffix: string): RequestId =>
  `${incarnation}${SEPARATOR}${suffix}`;
