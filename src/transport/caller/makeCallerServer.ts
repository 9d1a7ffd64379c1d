import * as http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import { callerErrorBody } from '../../protocol/caller/ErrorBody.ts';
import { makeHttpServer } from '../http/index.ts';
import { CallerHandler } from './CallerHandler.ts';
import type { CallerHandlerOptions } from './CallerHandler.ts';

/** What a caller-facing server is made of. */
export interface CallerServerOptions extends CallerHandlerOptions {
  /** `IP:PORT` to listen at; port 0 takes any free port. */
  readonly address: string;
}

const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const MAXIMUM_CHECK_INTERVAL_MS = 1_000;
const TCP_KEEP_ALIVE_MS = 10_000;
/** Connections beyond the limit that are still told so; more are closed unread. */
const CONNECTION_RESERVE = 64;

const FLUSH_CHECK_MS = 20;
/** Time for answers that were ended to reach a slow reader. */
const FLUSH_LIMIT_MS = 3_000;

const CLIENT_ERRORS: Readonly<Record<string, { status: string; code: string; message: string }>> = {
  HPE_HEADER_OVERFLOW: {
    status: '431 Request Header Fields Too Large',
    code: 'headers_too_large',
    message: 'The headers are over the size that this entry takes.',
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    status: '408 Request Timeout',
    code: 'receive_timeout',
    message: 'The request was not received in time.',
  },
};
const MALFORMED = {
  status: '400 Bad Request',
  code: 'malformed_request',
  message: 'This is not a whole HTTP/1.1 request.',
};

/** Answers what never became a request. */
const answerClientError = (error: NodeJS.ErrnoException, socket: Socket): void => {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const { status, code, message } = CLIENT_ERRORS[error.code ?? ''] ?? MALFORMED;
  const body = JSON.stringify(callerErrorBody({ code, message }));
  socket.end(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Type: application/json\r\n` +
      `X-Outcome: not-run\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    () => socket.destroy(),
  );
};

/** A server with the connections that are open at it. */
interface TrackedServer {
  readonly server: http.Server;
  readonly sockets: ReadonlySet<Socket>;
  /** Requests that aren't over yet. */
  readonly requests: ReadonlySet<http.IncomingMessage>;
}

const createServer = (options: CallerServerOptions): TrackedServer => {
  const { limits } = options;
  const handler = new CallerHandler(options);
  const sockets = new Set<Socket>();
  const requests = new Set<http.IncomingMessage>();
  const server = makeHttpServer({
    maxHeaderSize: limits.maximumHeaderBytes,
    requestTimeout: limits.receiveTimeoutMs,
    headersTimeout: limits.receiveTimeoutMs,
    connectionsCheckingInterval: Math.min(MAXIMUM_CHECK_INTERVAL_MS, limits.receiveTimeoutMs / 2),
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: TCP_KEEP_ALIVE_MS,
  });
  server.maxConnections = limits.maximumConnections + CONNECTION_RESERVE;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  server.on('request', (request, response) => {
    requests.add(request);
    response.once('close', () => requests.delete(request));
    handler.handle(request, response, sockets.size > limits.maximumConnections);
  });
  server.on('clientError', answerClientError);
  return { server, sockets, requests };
};

const listen = (server: http.Server, address: string): Effect.Effect<string> =>
  Effect.callback<string>((resume) => {
    const separator = address.lastIndexOf(':');
    // Later errors are those of connections that can't be accepted, which must not end the process.
    server.on('error', (error) => resume(Effect.die(error)));
    server.listen(Number(address.slice(separator + 1)), address.slice(0, separator), () => {
      const bound = server.address() as AddressInfo;
      resume(Effect.succeed(`${bound.address}:${bound.port}`));
    });
  });

const close = (server: http.Server): Effect.Effect<void> =>
  Effect.callback<void>((resume) => {
    server.close(() => resume(Effect.void));
    server.closeAllConnections();
  });

/**
 * Waits until bodies that are arriving have come, so that the service can refuse their requests, and until what was
 * answered has left, as Node closes connections whose answers were ended but not sent.
 */
const flush = ({ sockets, requests }: TrackedServer): Effect.Effect<void> =>
  Effect.sleep(FLUSH_CHECK_MS).pipe(
    Effect.repeat({
      while: () =>
        [...requests].some(({ complete, destroyed }) => !complete && !destroyed) ||
        [...sockets].some(({ writableLength }) => writableLength > 0),
    }),
    Effect.timeoutOption(FLUSH_LIMIT_MS),
    Effect.asVoid,
  );

/**
 * Starts the server that callers talk to. It closes with the scope: answers that were ended get a few
 * seconds to leave, the rest is cut. Draining comes before that and is the service's business.
 *
 * @param options - address, bounds and the service that answers
 * @returns the address that it is bound to, `IP:PORT`
 */
export const makeCallerServer = (
  options: CallerServerOptions,
): Effect.Effect<string, never, Scope.Scope> =>
  Effect.acquireRelease(
    Effect.sync(() => createServer(options)),
    (tracked) => flush(tracked).pipe(Effect.andThen(close(tracked.server))),
  ).pipe(Effect.flatMap(({ server }) => listen(server, options.address)));
