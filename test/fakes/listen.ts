import { createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A running loopback server. */
export interface Listener {
  readonly server: Server;
  /** `http://IP:PORT`, without a path. */
  readonly address: string;
  readonly close: () => Promise<void>;
}

/**
 * Starts an HTTP server on loopback.
 *
 * @param handler - answers each request
 * @param port - port to listen on; 0 takes any free one
 * @returns the listening server
 */
export const listen = async (handler: RequestListener, port = 0): Promise<Listener> => {
  const server = createServer({ keepAliveTimeout: 60_000 }, handler);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  const bound = server.address() as AddressInfo;
  return {
    server,
    address: `http://127.0.0.1:${bound.port}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
};

/**
 * Reads a request's body.
 *
 * @param request - the request
 * @returns the body as text, empty where the sender broke off
 */
export const readBody = (request: IncomingMessage): Promise<string> =>
  new Promise((resolve) => {
    const parts: Buffer[] = [];
    request.on('data', (part: Buffer) => parts.push(part));
    request.on('end', () => resolve(Buffer.concat(parts).toString('utf8')));
    request.on('error', () => resolve(''));
  });

/**
 * Answers with JSON.
 *
 * @param response - the answer to write
 * @param status - HTTP status
 * @param body - value to write
 * @param headers - further headers
 */
export const sendJson = (
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void => {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
};

/**
 * Waits.
 *
 * @param milliseconds - time to wait
 * @returns when the time has passed
 */
export const sleep = (milliseconds: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
