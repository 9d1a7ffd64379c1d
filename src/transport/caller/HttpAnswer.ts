import type { ServerResponse } from 'node:http';
import type { CallerResponse, CallerError } from '../../protocol/caller/CallerService.ts';
import type { ErrorBody } from '../../protocol/caller/ErrorBody.ts';
import {
  notRunBody,
  notRunStatusCode,
  callerErrorBody,
  unknownOutcomeBody,
  unknownOutcomeStatusCode,
} from '../../protocol/caller/ErrorBody.ts';
import {
  SET_COOKIE_HEADER,
  SET_COOKIE_SEPARATOR,
  OUTCOME_HEADER,
  REQUEST_ID_HEADER,
} from '../../protocol/caller/headers.ts';
import { STREAM_END_MARK } from '../../protocol/engine/engineResponses.ts';
import type { NotRunReason, UnknownOutcomeReason } from '../../state/RequestOutcome.ts';

const MAXIMUM_UNREAD_BYTES = 16 * 1024 * 1024;
/** Time for the last bytes of a broken-off answer to leave before its connection is closed. */
const CUT_FLUSH_MS = 1_000;
const MS_PER_SECOND = 1_000;

/**
 * Answers a request with an error object.
 *
 * @param response - where the answer goes
 * @param status - status code
 * @param body - the error object
 */
export const writeError = (response: ServerResponse, status: number, body: ErrorBody): void => {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body);
  const retryAfterMs = body.error.retry_after_ms;
  if (retryAfterMs !== null) {
    response.setHeader('retry-after', Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND)));
  }
  if (body.error.outcome !== null) response.setHeader(OUTCOME_HEADER, body.error.outcome);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};

/** A caller's answer over HTTP. */
export class HttpAnswer implements CallerResponse {
  readonly #response: ServerResponse;

  readonly #maximumUnreadBytes: number;

  #ended = false;

  readonly #chat: boolean;

  #events = false;

  /** Whether only the end of the connection marks the end of the answer, as towards HTTP/1.0. */
  #endsWithConnection = false;

  #id: string | undefined;

  #leaveHandler: (() => void) | undefined;

  /**
   * @param response - where the answer goes
   * @param chat - whether events are those of a model's stream, which closes with an end mark
   * @param maximumUnreadBytes - most that is kept for a caller who doesn't read
   */
  constructor(response: ServerResponse, chat: boolean, maximumUnreadBytes = MAXIMUM_UNREAD_BYTES) {
    this.#chat = chat;
    this.#response = response;
    this.#maximumUnreadBytes = maximumUnreadBytes;
    response.on('close', () => this.#onClose());
  }

  setRequestId(id: string): void {
    this.#id = id;
  }

  sendHead(status: number, headers: Readonly<Record<string, string>>): void {
    if (this.#ended || this.isHeadSent()) return;
    this.#events = this.#chat && (headers['content-type'] ?? '').startsWith('text/event-stream');
    const cookies = headers[SET_COOKIE_HEADER];
    this.#endsWithConnection =
      !this.#response.useChunkedEncodingByDefault && headers['content-length'] === undefined;
    // One object given at once is what Node writes fastest.
    this.#response.writeHead(status, {
      ...headers,
      ...(cookies !== undefined && { [SET_COOKIE_HEADER]: cookies.split(SET_COOKIE_SEPARATOR) }),
      ...(this.#id !== undefined && { [REQUEST_ID_HEADER]: this.#id }),
    });
    // A caller of a stream wants to know at once that it has begun.
    if (this.#events) this.#response.flushHeaders();
  }

  sendPart(bytes: Uint8Array): void {
    this.#write(bytes);
  }

  sendEvent(data: string, index: number): void {
    this.#write(`id: ${index}\ndata: ${data.replaceAll('\n', '\ndata: ')}\n\n`);
  }

  end(): void {
    if (this.#ended) return;
    this.#ended = true;
    if (this.#events) this.#response.end(`data: ${STREAM_END_MARK}\n\n`);
    else this.#response.end();
  }

  abort(reason: UnknownOutcomeReason): void {
    if (this.#ended) return;
    if (!this.isHeadSent()) {
      this.sendUnknownOutcome(reason);
      return;
    }
    this.#ended = true;
    if (this.#events) {
      this.#response.write(`event: error\ndata: ${JSON.stringify(unknownOutcomeBody(reason))}\n\n`);
    }
    this.#destroyOnceFlushed();
  }

  sendError(error: CallerError): void {
    this.#endWithError(error.status, callerErrorBody(error));
  }

  sendNotRun(reason: NotRunReason, retryAfterMs: number): void {
    this.#endWithError(notRunStatusCode(reason), notRunBody(reason, retryAfterMs));
  }

  sendUnknownOutcome(reason: UnknownOutcomeReason): void {
    this.#endWithError(unknownOutcomeStatusCode(reason), unknownOutcomeBody(reason));
  }

  isHeadSent(): boolean {
    return this.#response.headersSent;
  }

  onDisconnect(handler: () => void): void {
    this.#leaveHandler = handler;
  }

  #endWithError(status: number, body: ErrorBody): void {
    if (this.#ended) return;
    this.#ended = true;
    if (this.#id !== undefined) this.#response.setHeader(REQUEST_ID_HEADER, this.#id);
    writeError(this.#response, status, body);
  }

  #write(chunk: Uint8Array | string): void {
    if (this.#ended) return;
    this.#response.write(chunk);
    if (this.#response.writableLength > this.#maximumUnreadBytes) this.#response.destroy();
  }

  #destroyOnceFlushed(): void {
    const response = this.#response;
    if (this.#endsWithConnection) {
      // A clean end of the connection would make the answer look whole.
      response.socket?.resetAndDestroy();
      return;
    }
    const timer = setTimeout(() => response.destroy(), CUT_FLUSH_MS);
    response.once('close', () => clearTimeout(timer));
    // No closing chunk follows, so the reader sees that the answer isn't whole.
    if (response.socket) response.socket.destroySoon();
    else response.destroy();
  }

  #onClose(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#leaveHandler?.();
  }
}
