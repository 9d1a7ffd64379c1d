import type * as http from 'node:http';
import type { Socket } from 'node:net';
import type { ClientLimits } from '../../state/gateway/index.ts';
import type { CallerMemory } from '../../protocol/gateway/index.ts';
import type { InboundAnswer, InboundRequest } from './InboundRequest.ts';
import { makeInboundAnswer } from './makeInboundAnswer.ts';
import { BodyReader, type UnreadableBody } from './BodyReader.ts';
import { ReadPacer } from './ReadPacer.ts';
import { pauseSocket } from './pauseSocket.ts';
import { containFault, rejectRequest } from './rejectRequest.ts';

/** Limits of requests, and where they go. */
export interface InboundOptions {
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  readonly limits: () => Pick<
    ClientLimits,
    'maximumHeaderBytes' | 'maximumBodyBytes' | 'idleTimeoutMs'
  >;
  /** Limits what the requests of callers, and answers that they don't read, take together. */
  readonly memory: CallerMemory;
  /** Most open connections; beyond them the one that has been quiet for longest is closed. */
  readonly maximumConnections: number;
  readonly onRequest: (request: InboundRequest, answer: InboundAnswer) => void;
  /** Told of requests that are refused before they reach `onRequest`. */
  readonly onRejected: (status: number, reason: string) => void;
  /** Told of errors that were thrown while a request was handled; each ends that request alone. */
  readonly onFault: (error: unknown) => void;
}

const STATUS = {
  badRequest: 400,
  requestTimeout: 408,
  contentTooLarge: 413,
  headerTooLarge: 431,
  unavailable: 503,
} as const;
const ENDING = 'the gateway is stopping';
/** The only transfer coding of a body that is decoded; the line that names another one wouldn't be forwarded. */
const CHUNKED = 'chunked';
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
/** The colon and the end of a line; the space after a colon may be missing. */
const MARKS_PER_LINE = 3;

/** Fewest bytes that header lines can have had, so that no head within the limit is refused. */
const headerBytes = (lines: readonly string[]): number =>
  lines.reduce((sum, part) => sum + part.length, 0) + (lines.length / 2) * MARKS_PER_LINE;

/** What a parsed line takes beyond its bytes: two strings, and their places in a list. */
const MEMORY_PER_LINE = 72;

/** A request whose head has been read. */
interface PendingRequest {
  readonly incoming: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly arrivedAt: number;
}

const rejectionOf = (
  reason: UnreadableBody,
): { readonly status: number; readonly detail: string } => {
  switch (reason._tag) {
    case 'tooLarge':
      return { status: STATUS.contentTooLarge, detail: 'body is over the limit' };
    case 'stalled':
      return { status: STATUS.requestTimeout, detail: 'body ceased to arrive' };
    case 'outOfMemory':
      return {
        status: STATUS.unavailable,
        detail: 'the requests of all callers take too much memory',
      };
    default:
      return reason satisfies never;
  }
};

/** What happens on a connection. */
interface ConnectionState {
  /** Requests that have no complete answer yet. */
  readonly unanswered: Set<http.ServerResponse>;
  /** Requests that were sent before the answer to an earlier one. They are handled one at a time, in order. */
  readonly queue: PendingRequest[];
  /** Goes on reading; undefined while no request waits in the queue. */
  resume: (() => void) | undefined;
  /** Requests whose heads have been read. */
  requestCount: number;
  /** Bytes that had been read when the last request was answered. */
  answeredBytes: number;
  /** When that was, or when the connection was accepted; in ms, monotonic. */
  quietSince: number;
  /** Most lines of a head that the parser of the connection is sure to keep. */
  readonly maximumLines: number;
}

/** Reads the requests on the connections of a server. */
export class InboundConnections {
  readonly #options: InboundOptions;

  readonly #states = new Map<Socket, ConnectionState>();

  /** Answers to requests whose bodies haven't been read completely. */
  readonly #unread = new Set<http.ServerResponse>();

  readonly #pacer: ReadPacer;

  /** Whether each connection closes with its next answer. */
  draining = false;

  /** Whether requests are refused, because the process is about to end. */
  #isEnding = false;

  constructor(options: InboundOptions) {
    this.#options = options;
    this.#pacer = new ReadPacer({
      now: options.now,
      afterTurn: (run) => setImmediate(run),
      schedule: (run, delayMs) => setTimeout(run, delayMs),
    });
  }

  /** Number of open connections. */
  get size(): number {
    return this.#states.size;
  }

  /** Whether answers wait to be sent to callers. */
  get isSending(): boolean {
    return [...this.#states.keys()].some(({ writableLength }) => writableLength > 0);
  }

  /**
   * Follows a connection until it closes.
   *
   * @param socket - the connection
   * @param maximumLines - most lines of a head that its parser is sure to keep
   */
  add(socket: Socket, maximumLines = Number.POSITIVE_INFINITY): void {
    this.#stateOf(socket, maximumLines);
    socket.setNoDelay(true);
    socket.once('close', () => this.#states.delete(socket));
    if (this.#states.size > this.#options.maximumConnections) this.#closeQuietest(socket);
  }

  /** Makes room for a new connection, or closes it if requests are under way on all others. */
  #closeQuietest(added: Socket): void {
    let quietest = added;
    let quietSince = Number.POSITIVE_INFINITY;
    this.#states.forEach((state, socket) => {
      if (socket === added || state.unanswered.size > 0 || state.quietSince >= quietSince) return;
      quietest = socket;
      quietSince = state.quietSince;
    });
    quietest.destroy();
    this.#states.delete(quietest);
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

  #stateOf(socket: Socket, maximumLines = Number.POSITIVE_INFINITY): ConnectionState {
    const known = this.#states.get(socket);
    if (known !== undefined) return known;
    const quietSince = this.#options.now();
    const state = {
      unanswered: new Set(),
      queue: [],
      resume: undefined,
      requestCount: 0,
      answeredBytes: 0,
      quietSince,
      maximumLines,
    };
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
    rejectRequest(response, STATUS.unavailable);
  }

  /** Reads a request to its end and passes it on, or refuses it. It waits for the answer to an earlier one on its connection. */
  onRequest(incoming: http.IncomingMessage, response: http.ServerResponse): void {
    const { now } = this.#options;
    const { socket } = incoming;
    if (!this.#states.has(socket)) this.add(socket);
    const state = this.#stateOf(socket);
    state.requestCount += 1;
    state.unanswered.add(response);
    this.#unread.add(response);
    response.once('close', () => {
      state.unanswered.delete(response);
      this.#unread.delete(response);
      state.answeredBytes = socket.bytesRead;
      state.quietSince = now();
      // A turn of the event loop answers one request of each connection, so that it isn't long.
      if (state.queue.length > 0) setImmediate(() => this.#readNext(socket, state));
    });
    if (this.#isEnding) {
      this.#refuse(response);
      return;
    }
    const pending = { incoming, response, arrivedAt: now() };
    if (state.unanswered.size === 1) {
      this.#read(pending);
      return;
    }
    state.queue.push(pending);
    // What has been read already is still parsed, so that the queue has the requests of one read at most.
    state.resume ??= pauseSocket(socket);
  }

  #readNext(socket: Socket, state: ConnectionState): void {
    // After an answer that closes the connection no other can be sent.
    if (socket.destroyed || socket.writableEnded) {
      state.queue.length = 0;
      return;
    }
    const next = state.queue.shift();
    if (state.queue.length === 0) {
      state.resume?.();
      state.resume = undefined;
    }
    if (next !== undefined && !next.response.headersSent) this.#read(next);
  }

  #read({ incoming, response, arrivedAt }: PendingRequest): void {
    const { now, limits, memory, onRejected, onRequest, onFault } = this.#options;
    const { maximumHeaderBytes, maximumBodyBytes, idleTimeoutMs } = limits();
    const headBytes = headerBytes(incoming.rawHeaders);
    const lineCount = incoming.rawHeaders.length / 2;
    if (headBytes > maximumHeaderBytes) {
      onRejected(STATUS.headerTooLarge, 'head is over the limit');
      rejectRequest(response, STATUS.headerTooLarge);
      return;
    }
    // Lines may be missing, though the head is within the limit that holds now.
    if (lineCount > this.#stateOf(incoming.socket).maximumLines) {
      onRejected(
        STATUS.unavailable,
        'the limit of a head was raised since the connection was accepted',
      );
      rejectRequest(response, STATUS.unavailable);
      return;
    }
    const { headers } = incoming;
    const coding = headers['transfer-encoding']?.trim().toLowerCase();
    if (coding !== undefined && coding !== CHUNKED) {
      onRejected(STATUS.badRequest, `the transfer coding ${coding} is unknown`);
      rejectRequest(response, STATUS.badRequest);
      return;
    }
    const hasBody = headers['content-length'] !== undefined || coding !== undefined;
    const reader = new BodyReader({
      incoming,
      maximumBytes: maximumBodyBytes,
      headMemory: headBytes + lineCount * MEMORY_PER_LINE,
      idleTimeoutMs,
      pacer: this.#pacer,
      now,
      open: (onYield) => memory.open(now(), onYield),
      onWhole: (body, held) => {
        if (!this.#unread.delete(response)) {
          held.release();
          return;
        }
        response.once('close', () => held.release());
        held.settle();
        const request = {
          method: incoming.method ?? 'GET',
          target: incoming.url ?? '/',
          host: headers.host ?? '',
          headerLines: incoming.rawHeaders,
          body: hasBody ? body : undefined,
          arrivedAt,
        };
        const answer = makeInboundAnswer({
          response,
          unread: memory.open(now(), () => response.destroy()),
          isDraining: () => this.draining,
          now,
          onFault,
        });
        containFault(response, onFault, () => onRequest(request, answer));
      },
      onUnreadable: (reason) => {
        if (!this.#unread.delete(response) || response.headersSent) return;
        const { status, detail } = rejectionOf(reason);
        onRejected(status, detail);
        rejectRequest(response, status);
      },
    });
    reader.start();
  }
}
