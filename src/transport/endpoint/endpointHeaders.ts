import { MODEL_VERSION_HEADER, REQUEST_ID_HEADER } from '../../protocol/caller/headers.ts';
import type { EndpointRequest } from '../../protocol/engine/EndpointClient.ts';

/**
 * Gives the headers with which a request goes to its endpoint.
 *
 * @param request - the request
 * @returns the caller's headers, the request's id and the version that is to serve it
 */
export const endpointHeaders = (request: EndpointRequest): Readonly<Record<string, string>> => ({
  ...request.headers,
  [REQUEST_ID_HEADER]: request.id,
  [MODEL_VERSION_HEADER]: request.version,
});
