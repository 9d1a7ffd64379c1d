import * as http from 'node:http';

/**
 * Makes an HTTP server whose parser keeps every header line. By default Node leaves lines beyond a count out without a
 * sign, so that a request would be handled as another one; here only the size of a head is limited, and a larger one is
 * refused. Whoever sets a count later refuses heads that have more lines.
 *
 * @param options - options of Node's server
 * @param onRequest - listener for requests
 * @returns the server, which doesn't listen yet
 */
export const makeHttpServer = (
  options: http.ServerOptions,
  onRequest?: http.RequestListener,
): http.Server => {
  const server = http.createServer(options, onRequest);
  server.maxHeadersCount = 0;
  return server;
};
