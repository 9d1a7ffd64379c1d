import type * as http from 'node:http';
import type { Socket } from 'node:net';
import type { ClientLimits } from '../../state/gateway/index.ts';
import { ByteCollector } from '../http/index.ts';
import type { InboundAnswer, InboundRequest } from './InboundRequest.ts';

/** Limits of requests, and where they go. */
export interface InboundOptions {
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  readonly limits: () => Pick<
    ClientLimits,
    'maximumHeaderBytes' | 'maximumBodyBytes' | 'idleTimeoutMs'
  >;
  readonly onRequest: (request: InboundRequest, answer: InboundAnswer) => void;
  /** Told of requests that are refused before they reach `onRequest`. */
  readonly onRejected: (status: number, reason: string) => void;
  /** Told of errors that were thrown while a request was handled; each ends that request alone. */
  readonly onFault: (error: unknown) => void;
}

const STATUS = {
  requestTimeout: 408,
  contentTooLarge: 413,
  headerTooLarge: 431,
  badGateway: 502,
  unavailable: 503,
} as const;
const ENDING = 'the gateway is stopping';
/** Sent where a head has been read in part, so that there is no request to answer. */
const UNREAD_ANSWER =
  'HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';
/**
 * Time without a request after which a connection may be closed in a drain. On one in constant use the next request may
 * be on its way; its answer says that the connection closes.
 */
const MINIMUM_QUIET_MS = 500;
/** Above what any configuration asks for: the configured limit is checked once the head is read. */
export const PARSER_HEADER_BYTES = 65_536;
/** Most header lines of a request. */
export const PARSER_HEADER_COUNT = 1_000;
/**
 * Most bytes of an answer that are held for a caller who reads slowly, before the endpoint has to wait. An endpoint cuts
 * an answer that isn't read for some seconds, and most streams are smaller than this.
 */
const MAXIMUM_HELD_BYTES = 65_536;

const headerBytes = (lines: readonly string[]): number =>
  lines.reduce((sum, part) => sum + part.length + 2, 0);

/** Answers and closes, for requests whose rest won't be read. */
const reject = (response: http.ServerResponse, status: number): void => {
  response.writeHead(status, { connection: 'close', 'content-length': 0 });
  response.end();
};

/** Runs a listener of one request, and ends that request if it throws: with 502, since an endpoint may have run it. */
const contain = (
  response: http.ServerResponse,
  onFault: (error: unknown) => void,
  run: () => void,
): void => {
  try {
    run();
  } catch (error) {
    if (response.headersSent || response.destroyed) response.destroy();
    else reject(response, STATUS.badGateway);
    onFault(error);
  }
};

const makeAnswer = (
  response: http.ServerResponse,
  isDraining: () => boolean,
  onFault: (error: unknown) => void,
): InboundAnswer => {
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
      contain(response, onFault, () => {
        writeHead(status, headerLines, ['Content-Length', String(body.length)]);
        response.end(body);
      });
    },
    begin: (status, headerLines) => {
      if (response.headersSent || response.destroyed) return;
      endsWithConnection = !takesChunks;
      const framing = takesChunks ? ['Transfer-Encoding', 'chunked'] : ['Connection', 'close'];
      contain(response, onFault, () => writeHead(status, headerLines, framing));
    },
    write: (bytes) => {
      // Node emits an error, which nothing would catch, for a write to an answer that has ended.
      if (response.writableEnded) return true;
      response.write(bytes);
      return response.writableLength < MAXIMUM_HELD_BYTES;
    },
    end: () => {
      response.end();
    },
    abort: () => {
      // Towards HTTP/1.0 a clean end of the connection would make the answer look whole.
      if (endsWithConnection) response.socket?.resetAndDestroy();
      else response.destroy();
    },
    onDrain: (listener) => {
      response.on('drain', () => contain(response, onFault, listener));
    },
    onClosed: (listener) => {
      response.once('close', () => {
        if (!response.writableFinished) contain(response, onFault, listener);
      });
    },
  };
};

/** What happens on a connection. */
interface ConnectionState {
  /** Requests that have no complete answer yet. */
  readonly unanswered: Set<http.ServerResponse>;
  /** Requests whose heads have been read. */
  requestCount: number;
  /** Bytes that had been read when the last request was answered. */
  answeredBytes: number;
  /** When that was, or when the connection was accepted; in ms, monotonic. */
  quietSince: number;
}

/** Reads the requests on the connections of a server. */
export class InboundConnections {
  readonly #options: InboundOptions;

  readonly #states = new Map<Socket, ConnectionState>();

  /** Answers to requests whose bodies haven't been read completely. */
  readonly #unread = new Set<http.ServerResponse>();

  /** Whether each connection closes with its next answer. */
  draining = false;

  /** Whether requests are refused, because the process is about to end. */
  #isEnding = false;

  constructor(options: InboundOptions) {
    this.#options = options;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#states.size;
  }

  /** Whether answers wait to be sent to callers. */
  get isSending(): boolean {
    return [...this.#states.keys()].some(({ writableLength }) => writableLength > 0);
  }

  /** Follows a connection until it closes. */
  add(socket: Socket): void {
    this.#stateOf(socket);
    socket.setNoDelay(true);
    socket.once('close', () => this.#states.delete(socket));
  }

  /** Returns the number of requests whose heads have been read from a connection. */
  requestCount(socket: Socket): number {
    return this.#states.get(socket)?.requestCount ?? 0;
  }

  /** Closes connections that have been quiet for a while: no request is being read or answered. */
  closeIdle(): void {
    const quietBefore = this.#options.now() - MINIMUM_QUIET_MS;
    this.#states.forEach((state, socket) => {
      if (!this.#isReading(socket, state) && state.quietSince < quietBefore) socket.destroy();
    });
  }

  /** Refuses requests that have been read in part, and those that are still to come. */
  refuseUnread(): void {
    this.#isEnding = true;
    this.#unread.forEach((response) => this.#refuse(response));
    this.#states.forEach((state, socket) => {
      if (state.unanswered.size === 0 && this.#isReading(socket, state)) {
        this.#options.onRejected(STATUS.unavailable, ENDING);
        socket.end(UNREAD_ANSWER);
      }
    });
  }

  #stateOf(socket: Socket): ConnectionState {
    const known = this.#states.get(socket);
    if (known !== undefined) return known;
    const quietSince = this.#options.now();
    const state = { unanswered: new Set(), requestCount: 0, answeredBytes: 0, quietSince };
    this.#states.set(socket, state as ConnectionState);
    return state as ConnectionState;
  }

  /** Whether a request is being read or answered on a connection. */
  // eslint-disable-next-line class-methods-use-this
  #isReading(socket: Socket, { unanswered, answeredBytes }: ConnectionState): boolean {
    return unanswered.size > 0 || socket.bytesRead > answeredBytes;
  }

  #refuse(response: http.ServerResponse): void {
    this.#unread.delete(response);
    if (response.headersSent) return;
    this.#options.onRejected(STATUS.unavailable, ENDING);
    reject(response, STATUS.unavailable);
  }

  /** Reads a request to its end and passes it on, or refuses it. */
  onRequest(incoming: http.IncomingMessage, response: http.ServerResponse): void {
    const { now, limits, onRejected } = this.#options;
    const arrivedAt = now();
    const { socket } = incoming;
    if (!this.#states.has(socket)) this.add(socket);
    const state = this.#stateOf(socket);
    state.requestCount += 1;
    state.unanswered.add(response);
    response.once('close', () => {
      state.unanswered.delete(response);
      this.#unread.delete(response);
      state.answeredBytes = socket.bytesRead;
      state.quietSince = now();
    });
    if (this.#isEnding) {
      this.#refuse(response);
      return;
    }
    const { maximumHeaderBytes, maximumBodyBytes, idleTimeoutMs } = limits();
    if (headerBytes(incoming.rawHeaders) > maximumHeaderBytes) {
      onRejected(STATUS.headerTooLarge, 'head is over the limit');
      reject(response, STATUS.headerTooLarge);
      return;
    }
    this.#readBody(incoming, response, maximumBodyBytes, arrivedAt);
    if (!incoming.complete) this.#limitPauses(incoming, response, idleTimeoutMs);
  }

  /** Refuses a request whose body ceases to arrive. One that arrives slowly may take as long as it needs. */
  #limitPauses(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    idleTimeoutMs: number,
  ): void {
    const timer = setTimeout(() => {
      if (!this.#unread.delete(response) || response.headersSent) return;
      this.#options.onRejected(STATUS.requestTimeout, 'body ceased to arrive');
      reject(response, STATUS.requestTimeout);
    }, idleTimeoutMs);
    incoming.on('data', () => timer.refresh());
    incoming.once('close', () => clearTimeout(timer));
    incoming.once('end', () => clearTimeout(timer));
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
    const collected = new ByteCollector();
    this.#unread.add(response);
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
      collected.append(chunk);
    });
    // A caller that leaves midway has no request to answer.
    incoming.on('error', () => {});
    incoming.on('end', () => {
      if (overflown || !incoming.complete || !this.#unread.delete(response)) return;
      const body = collected.take();
      const { onRequest, onFault } = this.#options;
      const request = {
        method: incoming.method ?? 'GET',
        target: incoming.url ?? '/',
        host: headers.host ?? '',
        headerLines: incoming.rawHeaders,
        body: hasBody ? body : undefined,
        arrivedAt,
      };
      const answer = makeAnswer(response, () => this.draining, onFault);
      contain(response, onFault, () => onRequest(request, answer));
    });
  }
}
