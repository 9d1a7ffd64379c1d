import type * as http from 'node:http';

const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
/** `Retry-After` of requests that are refused before they are read: other instances may take them at once. */
const RETRY_AFTER_S = '1';

/**
 * Answers a request whose rest won't be read, and closes its connection.
 *
 * @param response - the answer, which hasn't begun
 * @param status - HTTP status
 */
export const rejectRequest = (response: http.ServerResponse, status: number): void => {
  response.writeHead(status, {
    connection: 'close',
    'content-length': 0,
    ...(status === STATUS_UNAVAILABLE && { 'retry-after': RETRY_AFTER_S }),
  });
  response.end();
};

/**
 * Runs a listener of one request, and ends that request if it throws: with 502, since an endpoint may have run it.
 *
 * @param response - the answer to the request
 * @param onFault - told of what was thrown
 * @param run - the listener
 */
export const containFault = (
  response: http.ServerResponse,
  onFault: (error: unknown) => void,
  run: () => void,
): void => {
  try {
    run();
  } catch (error) {
    if (response.headersSent || response.destroyed) response.destroy();
    else rejectRequest(response, STATUS_BAD_GATEWAY);
    onFault(error);
  }
};
