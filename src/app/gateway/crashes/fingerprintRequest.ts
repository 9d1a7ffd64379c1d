import { createHash } from 'node:crypto';
import type { InboundRequest } from '../../../transport/gateway/index.ts';

/** Long enough that two requests of a group never share one by chance. */
const FINGERPRINT_LENGTH = 32;
/** Tells a fingerprint from the id of a prompt part. */
const PREFIX = 'request:';

/**
 * Identifies requests that are the same to an endpoint: by method, host, path with query, client account and
 * body, but neither by headers nor by the request's id.
 *
 * @param inbound - the request
 * @param account - name of the client account; undefined for anonymous callers
 * @returns a hash, from which the request can't be told
 */
export const fingerprintRequest = (
  { method, host, target, body }: InboundRequest,
  account: string | undefined,
): string => {
  const hash = createHash('sha256').update(JSON.stringify([method, host, target, account ?? null]));
  if (body !== undefined) hash.update(body);
  return `${PREFIX}${hash.digest('base64url').slice(0, FINGERPRINT_LENGTH)}`;
};
