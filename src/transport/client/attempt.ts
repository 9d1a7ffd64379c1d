import type { IncomingHttpHeaders } from 'node:http';
import * as Effect from 'effect/Effect';
import { createParser } from 'eventsource-parser';
import type { EventSourceParser } from 'eventsource-parser';
import { ErrorBody } from '../../protocol/caller/ErrorBody.ts';
import { OUTCOME_HEADER } from '../../protocol/caller/headers.ts';
import { makeJsonDecoder } from '../../protocol/makeJsonDecoder.ts';
import { STREAM_END_MARK } from '../../protocol/engine/engineResponses.ts';
import { exchange } from '../http/index.ts';
import type { ConnectionPool, ExchangeEvent, HttpRequest } from '../http/index.ts';

/** What one try at one entry gave. */
export type AttemptOutcome =
  | {
      readonly _tag: 'completed';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Buffer;
    }
  | {
      readonly _tag: 'notRun';
      readonly code: string;
      readonly message: string;
      /** Undefined where another try of the same request makes no sense. */
      readonly retryAfterMs: number | undefined;
    }
  | { readonly _tag: 'unknown'; readonly code: string }
  /** A request of this id came before; what became of it has to be asked for. */
  | { readonly _tag: 'used' }
  /** The entry was not reached; it got nothing. */
  | { readonly _tag: 'refused'; readonly detail: string }
  /** The entry may have got the request, and its answer didn't come. */
  | { readonly _tag: 'lost'; readonly detail: string };

const MS_PER_SECOND = 1_000;

const HTTP_CONFLICT = 409;

const decodeError = makeJsonDecoder(ErrorBody);

// An endpoint's own conflict has no outcome that is left unsaid.
const isUsedId = (body: Buffer): boolean =>
  decodeError(body.toString('utf8'))?.error.outcome === null;

const readRefusal = (headers: IncomingHttpHeaders, body: Buffer): AttemptOutcome => {
  const error = decodeError(body.toString('utf8'))?.error;
  const code = error?.code ?? 'unreadable';
  if (headers[OUTCOME_HEADER] === 'unknown') return { _tag: 'unknown', code };
  const retryAfter = headers['retry-after'];
  const retryAfterMs =
    error?.retry_after_ms ??
    (retryAfter === undefined ? undefined : Number(retryAfter) * MS_PER_SECOND);
  return { _tag: 'notRun', code, message: error?.message ?? '', retryAfterMs };
};

/** Collects one answer and finds what it means. */
class AnswerReader {
  readonly #onEvent: (data: string) => void;

  readonly #chunks: Buffer[] = [];

  readonly #decoder = new TextDecoder();

  #status = 0;

  #headers: IncomingHttpHeaders = {};

  #parser: EventSourceParser | undefined;

  #endSeen = false;

  #cutCode: string | undefined;

  constructor(onEvent: (data: string) => void) {
    this.#onEvent = onEvent;
  }

  head(status: number, headers: IncomingHttpHeaders, chat: boolean): void {
    this.#status = status;
    this.#headers = headers;
    if (!chat || !headers['content-type']?.startsWith('text/event-stream')) return;
    this.#parser = createParser({
      onEvent: ({ event, data }) => {
        if (data === STREAM_END_MARK) this.#endSeen = true;
        else if (event === 'error') this.#cutCode = decodeError(data)?.error.code ?? 'unreadable';
        else this.#onEvent(data);
      },
    });
  }

  data(bytes: Buffer): void {
    this.#chunks.push(bytes);
    this.#parser?.feed(this.#decoder.decode(bytes, { stream: true }));
  }

  /** What an answer means that HTTP calls complete. */
  complete(): AttemptOutcome {
    const body = Buffer.concat(this.#chunks);
    if (this.#headers[OUTCOME_HEADER] !== undefined) return readRefusal(this.#headers, body);
    if (this.#status === HTTP_CONFLICT && isUsedId(body)) return { _tag: 'used' };
    if (this.#parser && !this.#endSeen) return this.broken('stream without its end mark');
    return { _tag: 'completed', status: this.#status, headers: this.#headers, body };
  }

  /** What an answer means whose connection broke. */
  broken(detail: string): AttemptOutcome {
    return this.#cutCode === undefined
      ? { _tag: 'lost', detail }
      : { _tag: 'unknown', code: this.#cutCode };
  }
}

/**
 * Sends a request to one entry, once.
 *
 * @param pool - where connections come from
 * @param request - what to send
 * @param onEvent - told the data of each event of a model's stream
 * @returns what became of it
 */
export const attempt = (
  pool: ConnectionPool,
  request: HttpRequest,
  onEvent: (data: string) => void,
): Effect.Effect<AttemptOutcome> =>
  Effect.callback<AttemptOutcome>((resume) => {
    const reader = new AnswerReader(onEvent);
    const finish = (outcome: AttemptOutcome): void => resume(Effect.succeed(outcome));
    const onExchange = (event: ExchangeEvent): void => {
      switch (event._tag) {
        case 'written':
          return;
        case 'head':
          reader.head(event.status, event.headers, request.path.startsWith('/v1/'));
          return;
        case 'data':
          reader.data(event.bytes);
          return;
        case 'ended':
          finish(reader.complete());
          return;
        case 'refused':
          finish(event);
          return;
        case 'broken':
          finish(reader.broken(event.detail));
          return;
        default:
          event satisfies never;
      }
    };
    const call = exchange(pool, request, onExchange);
    return Effect.sync(call.abort);
  });
