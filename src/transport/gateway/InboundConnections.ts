import type * as http from 'node:http';
import type { Socket } from 'node:net';
import type { ClientLimits } from '../../state/gateway/index.ts';
import type { InboundAnswer, InboundRequest } from './InboundRequest.ts';

/** Limits of requests, and where they go. */
export interface InboundOptions {
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  readonly limits: () => Pick<ClientLimits, 'maximumHeaderBytes' | 'maximumBodyBytes'>;
  readonly onRequest: (request: InboundRequest, answer: InboundAnswer) => void;
  /** Told of requests that are refused before they reach `onRequest`. */
  readonly onRejected: (status: number, reason: string) => void;
}

const STATUS = { contentTooLarge: 413, headerTooLarge: 431 } as const;
/** Above what any configuration asks for: the configured limit is checked once the head is read. */
export const PARSER_HEADER_BYTES = 65_536;
/** Most header lines of a request. */
export const PARSER_HEADER_COUNT = 1_000;
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

/** Reads the requests on the connections of a server. */
export class InboundConnections {
  readonly #options: InboundOptions;

  readonly #busy = new Map<Socket, number>();

  readonly #sockets = new Set<Socket>();

  readonly #requestCounts = new WeakMap<Socket, number>();

  /** Whether each connection closes with its next answer. */
  draining = false;

  constructor(options: InboundOptions) {
    this.#options = options;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#sockets.size;
  }

  /** Follows a connection until it closes. */
  add(socket: Socket): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.once('close', () => {
      this.#sockets.delete(socket);
      this.#busy.delete(socket);
    });
  }

  /** Returns the number of requests whose heads have been read from a connection. */
  requestCount(socket: Socket): number {
    return this.#requestCounts.get(socket) ?? 0;
  }

  /** Closes connections on which nothing is asked. */
  closeIdle(): void {
    this.#sockets.forEach((socket) => {
      if ((this.#busy.get(socket) ?? 0) === 0) socket.destroy();
    });
  }

  /** Reads a request to its end and passes it on, or refuses it. */
  onRequest(incoming: http.IncomingMessage, response: http.ServerResponse): void {
    const { now, limits, onRejected } = this.#options;
    const arrivedAt = now();
    const { socket } = incoming;
    if (!this.#sockets.has(socket)) this.add(socket);
    this.#requestCounts.set(socket, this.requestCount(socket) + 1);
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
