import type * as http from 'node:http';
import type { CallerHolding } from '../../protocol/gateway/index.ts';
import type { InboundAnswer } from './InboundRequest.ts';
import { containFault } from './rejectRequest.ts';

/** An answer to a caller, and what it depends on. */
export interface InboundAnswerOptions {
  readonly response: http.ServerResponse;
  /** Memory for what the caller hasn't read yet. */
  readonly unread: CallerHolding;
  /** Whether the connection closes with the answer. */
  readonly isDraining: () => boolean;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  readonly onFault: (error: unknown) => void;
}

/**
 * Most bytes of an answer that are held for a caller who reads slowly, before the endpoint has to wait. An endpoint cuts
 * an answer that isn't read for some seconds, and most streams are smaller than this.
 */
const MAXIMUM_HELD_BYTES = 65_536;
/** An answer of which less is waiting to be sent isn't counted, since that changes with each event of a stream. */
const MINIMUM_COUNTED_BYTES = 8_192;

/** Makes the way back to a caller. */
export const makeInboundAnswer = ({
  response,
  unread,
  isDraining,
  now,
  onFault,
}: InboundAnswerOptions): InboundAnswer => {
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
  const countUnread = (): void => {
    if (response.writableLength >= MINIMUM_COUNTED_BYTES)
      unread.resize(response.writableLength, now());
  };
  response.once('close', () => unread.release());
  return {
    send: (status, headerLines, body) => {
      if (response.headersSent || response.destroyed) return;
      containFault(response, onFault, () => {
        writeHead(status, headerLines, ['Content-Length', String(body.length)]);
        response.end(body);
        countUnread();
      });
    },
    begin: (status, headerLines) => {
      if (response.headersSent || response.destroyed) return;
      endsWithConnection = !takesChunks;
      const framing = takesChunks ? ['Transfer-Encoding', 'chunked'] : ['Connection', 'close'];
      containFault(response, onFault, () => writeHead(status, headerLines, framing));
    },
    write: (bytes) => {
      // Node emits an error, which nothing would catch, for a write to an answer that has ended.
      if (response.writableEnded) return true;
      response.write(bytes);
      countUnread();
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
      response.on('drain', () => {
        unread.resize(0, now());
        containFault(response, onFault, listener);
      });
    },
    onClosed: (listener) => {
      response.once('close', () => {
        if (!response.writableFinished) containFault(response, onFault, listener);
      });
    },
  };
};
