import type { RawHeaders } from '../../protocol/gateway/index.ts';

/** A caller's request, read to its end. */
export interface InboundRequest {
  readonly method: string;
  /** Request target as it came: path and query. */
  readonly target: string;
  readonly host: string;
  readonly headerLines: RawHeaders;
  /** Undefined where the request has none, not even an empty one. */
  readonly body: Uint8Array | undefined;
  /** When the head had been read, in monotonic ms. */
  readonly arrivedAt: number;
}

/** The way back to a caller. */
export interface InboundAnswer {
  /** Sends a whole answer. */
  readonly send: (status: number, headerLines: RawHeaders, body: Uint8Array) => void;
  /** Begins an answer whose length isn't known. */
  readonly begin: (status: number, headerLines: RawHeaders) => void;
  /** Sends a part; false asks to wait for `onDrain`. */
  readonly write: (bytes: Uint8Array) => boolean;
  /** Ends an answer that was begun. */
  readonly end: () => void;
  /** Closes the connection, so that what was sent can't be taken for a whole answer. */
  readonly abort: () => void;
  readonly onDrain: (listener: () => void) => void;
  /** Told where the caller's connection closes before the answer was sent. */
  readonly onClosed: (listener: () => void) => void;
}
