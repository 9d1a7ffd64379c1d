import * as http from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionUse } from './ConnectionHistory.ts';
import type { ConnectionPool, ConnectOutcome } from './ConnectionPool.ts';
import { EndProbe } from './EndProbe.ts';
import { findHeadFault } from './findHeadFault.ts';
import { framingOf, type AnswerFraming } from './framingOf.ts';

const SCHEME = 'http://';
/** Most bytes that bring an answer no further: a long head and framing, not bytes without end. */
const MAXIMUM_IDLE_BYTES = 256 * 1024;

/** One HTTP request to a server known by its address. */
export interface HttpRequest {
  readonly address: string;
  /**
   * Id that the server repeats in its answer; undefined for a request without one. No connection carries two requests with
   * the same id.
   */
  readonly id?: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /**
   * Header lines to send as they are, name and value by turns, in place of `headers` and of the
   * address as `Host`. The length of the body is added.
   */
  readonly headerLines?: readonly string[];
  readonly body: Uint8Array | undefined;
  /** Whether only a new connection will do. */
  readonly fresh: boolean;
  /** Time without a byte after which the exchange is `broken`; undefined for no limit. */
  readonly silenceMs: number | undefined;
  /**
   * Holds the body back until the server says `100 Continue`, this long at most. A server that stands
   * still then gets no whole request, and the exchange is `refused`. Undefined sends at once, and so does a
   * request without a body.
   */
  readonly continueWithinMs?: number;
  /**
   * Whether the request may still be sent; asked right before it is written, since connecting takes time. If not, the
   * exchange is `refused`. Undefined for a request that may always be sent.
   */
  readonly mayWrite?: (() => boolean) | undefined;
}

/** What happens to an exchange, in order; `refused`, `ended` or `broken` comes last and once. */
export type ExchangeEvent =
  /** The request was not written, or not as a whole, so the server can't have run it. */
  | {
      readonly _tag: 'refused';
      readonly detail: string;
      /** Whether `mayWrite` forbade it, so that the server has no part in it. */
      readonly forbidden?: true;
      /** Whether this process has no connection to spare, so that the server has no part in it. */
      readonly exhausted?: true;
    }
  /** The request is being written: from here on it may reach the server. */
  | { readonly _tag: 'written'; readonly connection: ConnectionUse }
  | {
      readonly _tag: 'head';
      readonly status: number;
      readonly headers: http.IncomingHttpHeaders;
      /** Header lines as they came, name and value by turns. */
      readonly headerLines: readonly string[];
      readonly framing: AnswerFraming;
    }
  | { readonly _tag: 'data'; readonly bytes: Buffer }
  /** The answer is complete as HTTP frames it. */
  | { readonly _tag: 'ended' }
  | { readonly _tag: 'broken'; readonly silent: boolean; readonly detail: string };

/** An exchange under way. */
export interface Exchange {
  /** Breaks the exchange off; no event follows. */
  readonly abort: () => void;
  /** Stops reading the answer, for a reader that can't keep up. */
  readonly pause: () => void;
  readonly resume: () => void;
  /** Closes the connection after the answer, in place of using it again. */
  readonly discardConnection: () => void;
}

type Opened =
  | { readonly _tag: 'opened'; readonly outgoing: http.ClientRequest }
  | { readonly _tag: 'refused'; readonly detail: string };

const linesOf = ({ headerLines, body }: HttpRequest, asksFirst: boolean): string[] | undefined =>
  headerLines && [
    ...headerLines,
    ...(asksFirst ? ['Expect', '100-continue'] : []),
    ...(body ? ['Content-Length', String(body.length)] : []),
    'Connection',
    'keep-alive',
  ];

const fieldsOf = (
  { address, headers, body }: HttpRequest,
  asksFirst: boolean,
): http.OutgoingHttpHeaders => ({
  ...headers,
  host: address.slice(SCHEME.length),
  connection: 'keep-alive',
  ...(body && { 'content-length': body.length }),
  ...(asksFirst && { expect: '100-continue' }),
});

/** Node throws where a path or a header holds what HTTP can't carry; nothing is written then. */
const openRequest = (request: HttpRequest, socket: Socket, asksFirst: boolean): Opened => {
  const { method, path } = request;
  try {
    const outgoing = http.request({
      method,
      path,
      headers: linesOf(request, asksFirst) ?? fieldsOf(request, asksFirst),
      createConnection: () => socket,
    });
    // Without an agent Node takes this from header fields, but not from header lines.
    outgoing.shouldKeepAlive = true;
    // Node leaves lines beyond its own count out without a sign, and with them what the answer says of itself.
    outgoing.maxHeadersCount = 0;
    return { _tag: 'opened', outgoing };
  } catch (error) {
    return { _tag: 'refused', detail: String(error) };
  }
};

/**
 * Sends one request and reports its answer. Never retries.
 *
 * @param pool - where connections come from
 * @param request - what to send
 * @param onEvent - told everything in order
 * @returns a handle to break it off
 */
export const exchange = (
  pool: ConnectionPool,
  request: HttpRequest,
  onEvent: (event: ExchangeEvent) => void,
): Exchange => {
  let ended = false;
  let outgoing: http.ClientRequest | undefined;
  let incoming: http.IncomingMessage | undefined;
  let silence: NodeJS.Timeout | undefined;
  let patience: NodeJS.Timeout | undefined;
  /** Bytes since the last that were a part of the body, or since the start. */
  let idleBytes = 0;
  let isDiscarded = false;

  const finish = (event: ExchangeEvent): void => {
    if (ended) return;
    ended = true;
    clearTimeout(silence);
    clearTimeout(patience);
    if (event._tag === 'broken' || event._tag === 'refused') outgoing?.destroy();
    try {
      onEvent(event);
    } catch (error) {
      pool.reportFault(error);
    }
  };
  /** Tells of an event that isn't the last. A listener that throws fails this exchange, and no other. */
  const tell = (event: ExchangeEvent): void => {
    try {
      onEvent(event);
    } catch (error) {
      finish({ _tag: 'broken', silent: false, detail: `not handled: ${error}` });
      pool.reportFault(error);
    }
  };
  const endProbe = new EndProbe();
  const onSocketEnd = (socket: Socket): void => {
    if (
      incoming !== undefined &&
      !incoming.complete &&
      framingOf(incoming, request.method) === 'close'
    )
      endProbe.start(socket);
  };
  const breakOff = (detail: string): void => {
    // What follows a complete answer spoils the connection but not the answer, whose end is still due.
    if (incoming?.complete === true && !incoming.destroyed) return;
    finish({ _tag: 'broken', silent: false, detail });
  };
  const onBytes = (bytes: Buffer): void => {
    if (idleBytes > MAXIMUM_IDLE_BYTES) breakOff('bytes without end that are no answer');
    idleBytes += bytes.length;
  };
  const onSilence = (): void => finish({ _tag: 'broken', silent: true, detail: 'no bytes' });

  const onResponse = (response: http.IncomingMessage): void => {
    if (ended) return;
    clearTimeout(patience);
    silence?.refresh();
    incoming = response;
    idleBytes = 0;
    const fault = findHeadFault(response);
    if (fault !== undefined) {
      finish({ _tag: 'broken', silent: false, detail: fault });
      return;
    }
    tell({
      _tag: 'head',
      status: response.statusCode ?? 0,
      headers: response.headers,
      headerLines: response.rawHeaders,
      framing: framingOf(response, request.method),
    });
    response.on('data', (bytes: Buffer) => {
      if (ended) return;
      silence?.refresh();
      idleBytes = 0;
      tell({ _tag: 'data', bytes });
    });
    response.on('end', () => {
      if (!response.complete) {
        breakOff('answer is incomplete');
        return;
      }
      endProbe.settle((wasReset) => {
        if (wasReset)
          finish({ _tag: 'broken', silent: false, detail: 'reset with its last bytes' });
        else finish({ _tag: 'ended' });
      });
    });
    response.on('error', (error) => breakOff(error.message));
    response.on('close', () => breakOff('connection closed before the end of the answer'));
  };

  const write = (body: Uint8Array | undefined, connection: ConnectionUse): void => {
    clearTimeout(patience);
    if (ended) return;
    if (request.mayWrite?.() === false) {
      finish({ _tag: 'refused', detail: 'it may not be sent any more', forbidden: true });
      return;
    }
    if (request.silenceMs !== undefined) silence = setTimeout(onSilence, request.silenceMs);
    tell({ _tag: 'written', connection });
    if (ended) return;
    if (body) outgoing?.end(body);
    else outgoing?.end();
  };
  const askFirst = (body: Uint8Array, withinMs: number, connection: ConnectionUse): void => {
    const detail = 'the server did not say that it would take the body';
    patience = setTimeout(() => finish({ _tag: 'refused', detail }), withinMs);
    outgoing?.on('continue', () => write(body, connection));
    outgoing?.flushHeaders();
  };

  const onConnected = (outcome: ConnectOutcome): void => {
    if (ended) return;
    if (outcome._tag === 'refused') {
      finish(outcome);
      return;
    }
    const { socket } = outcome;
    if (request.mayWrite?.() === false) {
      pool.release(request.address, socket);
      finish({ _tag: 'refused', detail: 'no longer permitted', forbidden: true });
      return;
    }
    const { body, continueWithinMs } = request;
    // Without a body the head is the whole request, which can't be held back.
    const asksFirst = body !== undefined && body.length > 0 && continueWithinMs !== undefined;
    const opened = openRequest(request, socket, asksFirst);
    if (opened._tag === 'refused') {
      socket.destroy();
      finish(opened);
      return;
    }
    outgoing = opened.outgoing;
    const probeEnd = (): void => onSocketEnd(socket);
    // Before the listeners of Node, which close the connection for writing.
    socket.prependListener('end', probeEnd);
    // After the listener of Node's parser, so that the bytes are parsed when they are counted.
    outgoing.once('socket', () => socket.on('data', onBytes));
    socket.once('free', () => {
      socket.removeListener('end', probeEnd);
      socket.removeListener('data', onBytes);
      if (isDiscarded) socket.destroy();
      else pool.release(request.address, socket);
    });
    outgoing.on('response', onResponse);
    outgoing.on('error', (error) => breakOff(error.message));
    outgoing.on('close', () => breakOff('connection closed before the answer'));
    const connection = pool.recordRequest(socket, request.id);
    if (asksFirst) askFirst(body, continueWithinMs, connection);
    else write(body, connection);
  };
  const { address, fresh, id } = request;
  const stopConnecting = pool.connect(address, fresh, onConnected, id);

  return {
    abort: () => {
      if (ended) return;
      ended = true;
      clearTimeout(silence);
      clearTimeout(patience);
      stopConnecting();
      outgoing?.destroy();
    },
    pause: () => incoming?.pause(),
    resume: () => incoming?.resume(),
    discardConnection: () => {
      isDiscarded = true;
    },
  };
};
