import * as Schema from 'effect/Schema';

const INCARNATION_SEPARATOR = '.';
const MAXIMUM_ID_LENGTH = 120;

/** A request id, `INCARNATION.SUFFIX`. Only the incarnation that it names may dispatch the request. */
export const RequestId = Schema.String.check(
  Schema.isPattern(/^[0-9a-z]{8,40}\.[0-9A-Za-z_-]{1,64}$/),
  Schema.isMaxLength(MAXIMUM_ID_LENGTH),
);
export type RequestId = typeof RequestId.Type;

/**
 * Returns the incarnation that owns a request.
 *
 * @param id - a well-formed request id
 * @returns the part before the separator
 */
export const owningIncarnation = (id: RequestId): string =>
  id.slice(0, id.indexOf(INCARNATION_SEPARATOR));

/**
 * Builds a request id.
 *
 * @param incarnation - the entry incarnation that may dispatch the request
 * @param suffix - 1 to 64 letters, digits, `_` and `-`, unique within the incarnation
 * @returns the request id
 */
export const makeRequestId = (incarnation: string, suffix: string): RequestId =>
  `${incarnation}${INCARNATION_SEPARATOR}${suffix}`;
