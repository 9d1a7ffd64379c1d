import * as http from 'node:http';
import type { Socket } from 'node:net';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type { ClientLimits, ListenAddress } from '../../state/gateway/index.ts';
import type { InboundAnswer, InboundRequest } from './InboundRequest.ts';
import { listenAt } from './listenAt.ts';

/** What a server for callers is made of. */
export interface GatewayServerOptions {
  readonly address: ListenAddress;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  readonly limits: () => ClientLimits;
  readonly onRequest: (request: InboundRequest, answer: InboundAnswer) => void;
  /** Told of requests that are refused before they reach `onRequest`. */
  readonly onRejected: (status: number, reason: string) => void;
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
  /** Takes no new connections; open ones stay. */
  readonly stopAccepting: () => void;
  readonly connections: () => number;
}

const STATUS = {
  badRequest: 400,
  requestTimeout: 408,
  contentTooLarge: 413,
  headerTooLarge: 431,
} as const;

const STATUS_BY_ERROR: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: STATUS.headerTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: STATUS.requestTimeout,
};

/** How often Node looks for clients that are too slow with a head. */
const SLOW_CLIENT_CHECK_MS = 500;
/** Above what any configuration asks for: the configured limit is checked once the head is read. */
const PARSER_HEADER_BYTES = 65_536;
const PARSER_HEADER_COUNT = 1_000;
const SMALL_BODY = Buffer.alloc(0);

const headerBytes = (lines: readonly string[]): number =>
  lines.reduce((sum, part) => sum + part.length + 2, 0);

const makeAnswer = (response: http.ServerResponse, isDraining: () => boolean): InboundAnswer => {
  const takesChunks = response.useChunkedEncodingByDefault;
  let endsWithConnection = false;
  const writeHead = (
    status: number,
    headerLines: readonly string[],
    more: readonly string[],
  ): void => {
    const closing = isDraining() ? ['Connection', 'close'] : [];
    response.writeHead(status, [...headerLines, ...more, ...closing]);
  };
  return {
    send: (status, headerLines, body) => {
      if (response.headersSent || response.destroyed) return;
      writeHead(status, headerLines, ['Content-Length', String(body.length)]);
      response.end(body);
    },
    begin: (status, headerLines) => {
      if (response.headersSent || response.destroyed) return;
      endsWithConnection = !takesChunks;
      writeHead(
        status,
        headerLines,
        takesChunks ? ['Transfer-Encoding', 'chunked'] : ['Connection', 'close'],
      );
    },
    write: (bytes) => response.write(bytes),
    end: () => {
      response.end();
    },
    abort: () => {
      // Towards HTTP/1.0 a clean end of the connection would make the answer look whole.
      if (endsWithConnection) response.socket?.resetAndDestroy();
      else response.destroy();
    },
    onDrain: (listener) => {
      response.on('drain', listener);
    },
    onClosed: (listener) => {
      response.once('close', () => {
        if (!response.writableFinished) listener();
      });
    },
  };
};

/** Answers and closes, for requests whose rest won't be read. */
const reject = (response: http.ServerResponse, status: number): void => {
  response.writeHead(status, { connection: 'close', 'content-length': 0 });
  response.end();
};

class CallerConnections {
  readonly #options: GatewayServerOptions;

  readonly #busy = new Map<Socket, number>();

  readonly #sockets = new Set<Socket>();

  draining = false;

  constructor(options: GatewayServerOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#sockets.size;
  }

  add(socket: Socket): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.once('close', () => {
      this.#sockets.delete(socket);
      this.#busy.delete(socket);
    });
  }

  closeIdle(): void {
    this.#sockets.forEach((socket) => {
      if ((this.#busy.get(socket) ?? 0) === 0) socket.destroy();
    });
  }

  onRequest(incoming: http.IncomingMessage, response: http.ServerResponse): void {
    const { now, limits, onRejected } = this.#options;
    const arrivedAt = now();
    const { socket } = incoming;
    this.#busy.set(socket, (this.#busy.get(socket) ?? 0) + 1);
    response.once('close', () => this.#busy.set(socket, (this.#busy.get(socket) ?? 1) - 1));
    const { maximumHeaderBytes, maximumBodyBytes } = limits();
    if (headerBytes(incoming.rawHeaders) > maximumHeaderBytes) {
      onRejected(STATUS.headerTooLarge, 'head is over the limit');
      reject(response, STATUS.headerTooLarge);
      return;
    }
    this.#readBody(incoming, response, maximumBodyBytes, arrivedAt);
  }

  #readBody(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    maximumBytes: number,
    arrivedAt: number,
  ): void {
    const { headers } = incoming;
    const hasBody =
      headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
    const chunks: Buffer[] = [];
    let size = 0;
    let overflown = false;
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (overflown) return;
      if (size > maximumBytes) {
        overflown = true;
        this.#options.onRejected(STATUS.contentTooLarge, 'body is over the limit');
        reject(response, STATUS.contentTooLarge);
        return;
      }
      chunks.push(chunk);
    });
    // A caller that leaves midway has no request to answer.
    incoming.on('error', () => {});
    incoming.on('end', () => {
      if (overflown || !incoming.complete) return;
      const body = size === 0 ? SMALL_BODY : Buffer.concat(chunks, size);
      this.#options.onRequest(
        {
          method: incoming.method ?? 'GET',
          target: incoming.url ?? '/',
          host: headers.host ?? '',
          headerLines: incoming.rawHeaders,
          body: hasBody ? body : undefined,
          arrivedAt,
        },
        makeAnswer(response, () => this.draining),
      );
    });
  }
}

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
 * Starts the HTTP server for callers. It closes with the scope.
 *
 * @param options - address, limits and where requests go
 * @returns the server
 */
export const makeGatewayServer = (
  options: GatewayServerOptions,
): Effect.Effect<GatewayServer, never, Scope.Scope> =>
  Effect.gen(function* start() {
    const connections = new CallerConnections(options);
    const server = http.createServer({
      maxHeaderSize: PARSER_HEADER_BYTES,
      connectionsCheckingInterval: SLOW_CLIENT_CHECK_MS,
      // A body may take as long as its sender keeps sending.
      requestTimeout: 0,
      noDelay: true,
    });
    server.maxHeadersCount = PARSER_HEADER_COUNT;
    const applyLimits = (): void => {
      const { headerTimeoutMs, idleTimeoutMs } = options.limits();
      server.headersTimeout = headerTimeoutMs;
      server.keepAliveTimeout = idleTimeoutMs;
    };
    server.on('connection', (socket) => {
      applyLimits();
      connections.add(socket);
    });
    server.on('request', (incoming, response) => connections.onRequest(incoming, response));
    server.on('clientError', (error, socket) => {
      options.onRejected(answerBroken(error, socket as Socket), error.message);
    });
    const address = yield* listenAt(server, options.address, options.onUnavailable);
    return {
      address,
      startDraining: () => {
        connections.draining = true;
      },
      closeIdle: () => connections.closeIdle(),
      stopAccepting: () => {
        server.close();
      },
      connections: () => connections.size,
    };
  });
