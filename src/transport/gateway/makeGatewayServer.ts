import * as http from 'node:http';
import type { Socket } from 'node:net';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type { ClientLimits, ListenAddress } from '../../state/gateway/index.ts';
import { makeHttpServer, maximumHeaderLines } from '../http/index.ts';
import { InboundConnections, PARSER_HEADER_BYTES } from './InboundConnections.ts';
import type { InboundOptions } from './InboundConnections.ts';
import { listenAt } from './listenAt.ts';

/** What a server for callers is made of. */
export interface GatewayServerOptions extends InboundOptions {
  readonly address: ListenAddress;
  readonly limits: () => ClientLimits;
  /** Told why its address can't be had yet. */
  readonly onUnavailable: (reason: string) => void;
}

/** A server for callers that runs. */
export interface GatewayServer {
  /** `IP:PORT` that it is bound to. */
  readonly address: string;
  /** Closes each connection with its next answer, and takes no long-lived ones any more. */
  readonly startDraining: () => void;
  /** Closes connections on which nothing is asked. */
  readonly closeIdle: () => void;
  /** Takes no new connections; open ones stay, and those that wait to be accepted are. */
  readonly stopAccepting: () => void;
  /** Refuses requests that have been read in part, and those that are still to come. */
  readonly refuseUnread: () => void;
  /** Whether answers wait to be sent to callers. */
  readonly isSending: () => boolean;
  readonly connections: () => number;
}

const STATUS = { badRequest: 400, requestTimeout: 408, headerTooLarge: 431 } as const;

/** Node's error for a head that isn't complete in time. */
const LATE_HEAD = 'ERR_HTTP_REQUEST_TIMEOUT';

const STATUS_BY_ERROR: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: STATUS.headerTooLarge,
  [LATE_HEAD]: STATUS.requestTimeout,
};

/** How often Node looks for clients that are too slow with a head. */
const SLOW_CLIENT_CHECK_MS = 500;
/**
 * Time in which a head that is late is still read. After a pause of this process, Node looks for late heads before it
 * reads those that arrived meanwhile.
 */
const LATE_HEAD_MS = 50;
const answerBroken = (error: NodeJS.ErrnoException, socket: Socket): number => {
  const status = STATUS_BY_ERROR[error.code ?? ''] ?? STATUS.badRequest;
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return status;
  }
  socket.end(
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
  return status;
};

/**
 * Closes the port of a server once a turn of the event loop has accepted no connection. Those that wait to be accepted
 * when it closes are reset, and each turn accepts one.
 */
const closeOnceAccepted = (server: http.Server): void => {
  let accepted = false;
  const onConnection = (): void => {
    accepted = true;
  };
  server.on('connection', onConnection);
  // From a timer to the immediate after it the event loop polls once.
  setTimeout(
    () =>
      setImmediate(() => {
        server.removeListener('connection', onConnection);
        if (accepted) closeOnceAccepted(server);
        else server.close();
      }),
    0,
  );
};

/**
 * Starts the HTTP server for callers. It closes with the scope.
 *
 * @param options - address, limits and where requests go
 * @returns the server
 */
export const makeGatewayServer = (
  options: GatewayServerOptions,
): Effect.Effect<GatewayServer, never, Scope.Scope> =>
  Effect.gen(function* start() {
    const connections = new InboundConnections(options);
    const server = makeHttpServer({
      maxHeaderSize: PARSER_HEADER_BYTES,
      connectionsCheckingInterval: SLOW_CLIENT_CHECK_MS,
      // A body may take as long as its sender keeps sending.
      requestTimeout: 0,
      noDelay: true,
    });
    let maximumLines = 0;
    const applyLimits = (): void => {
      const { maximumHeaderBytes, headerTimeoutMs, idleTimeoutMs } = options.limits();
      maximumLines = maximumHeaderLines(maximumHeaderBytes);
      // Bounds the memory of a head. One that loses lines has more than the limit allows, and is refused.
      server.maxHeadersCount = maximumLines + 1;
      server.headersTimeout = headerTimeoutMs;
      server.keepAliveTimeout = idleTimeoutMs;
    };
    // Before the listener of Node, which makes the parser of the connection.
    server.prependListener('connection', applyLimits);
    server.on('connection', (socket) => connections.add(socket, maximumLines));
    server.on('request', (incoming, response) => connections.onRequest(incoming, response));
    const reject = (error: NodeJS.ErrnoException, socket: Socket): void => {
      options.onRejected(answerBroken(error, socket), error.message);
    };
    server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
      const socket = stream as Socket;
      if (error.code !== LATE_HEAD) {
        reject(error, socket);
        return;
      }
      const requests = connections.requestCount(socket);
      setTimeout(() => {
        if (connections.requestCount(socket) === requests) reject(error, socket);
      }, LATE_HEAD_MS);
    });
    const address = yield* listenAt(server, options.address, options.onUnavailable);
    return {
      address,
      startDraining: () => {
        connections.draining = true;
      },
      closeIdle: () => connections.closeIdle(),
      stopAccepting: () => closeOnceAccepted(server),
      refuseUnread: () => connections.refuseUnread(),
      isSending: () => connections.isSending,
      connections: () => connections.size,
    };
  });
