import type { WireAdapter } from '../../../protocol/gateway/index.ts';
import type { InboundAnswer } from '../../../transport/gateway/index.ts';
import type { RequestAttempt } from './RequestAttempt.ts';

const EMPTY_BODY = Buffer.alloc(0);
/** Statuses by which callers know that a request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const STATUS_BAD_GATEWAY = 502;

/** What the parts of an answer that come from several endpoints have to share. */
interface AnswerHead {
  readonly status: number;
  readonly type: string | undefined;
}

const findContentType = (headerLines: readonly string[]): string | undefined => {
  const index = headerLines.findIndex(
    (line, at) => at % 2 === 0 && line.toLowerCase() === 'content-type',
  );
  return index < 0 ? undefined : headerLines[index + 1]?.toLowerCase();
};

/** The answer to a caller: what an endpoint answered, or the gateway's own word. */
export class CallerAnswer {
  readonly #wire: WireAdapter;

  readonly #answer: InboundAnswer;

  /** Status and type of the answer whose head the caller has been sent; undefined before. */
  #head: AnswerHead | undefined;

  /** Time from the arrival of the request to the first byte of its answer, in ms; 0 before. */
  firstByteMs = 0;

  constructor(wire: WireAdapter, answer: InboundAnswer) {
    this.#wire = wire;
    this.#answer = answer;
  }

  /** Whether the caller has been sent the head of a successful answer. */
  get begun(): boolean {
    return this.#head !== undefined;
  }

  /**
   * Begins the answer that an attempt brings; a resumed one goes on with the head of the first.
   *
   * @param attempt - the attempt, whose head has arrived
   * @param sinceArrivalMs - time since the arrival of the request
   * @returns false if the attempt was to resume the answer, and brings one of another status or type
   */
  begin({ status, headerLines }: RequestAttempt, sinceArrivalMs: number): boolean {
    const type = findContentType(headerLines);
    if (this.#head !== undefined) return this.#head.status === status && this.#head.type === type;
    this.#head = { status, type };
    this.firstByteMs = sinceArrivalMs;
    this.#answer.begin(status, this.#wire.filterResponseHeaders(headerLines));
    return true;
  }

  /** Passes on a part of an answer that was begun; false asks to wait for `onDrain` of the caller. */
  write(bytes: Uint8Array): boolean {
    return this.#answer.write(bytes);
  }

  /** Ends an answer that was begun. */
  end(): void {
    this.#answer.end();
  }

  /**
   * Sends a whole answer of an endpoint that ran the request. To callers, some statuses say that it has not run; such an
   * answer is replaced by one that doesn't.
   */
  sendWhole({ status, headerLines }: RequestAttempt, body: Uint8Array): void {
    if (NOT_RUN_STATUSES.has(status)) this.sendOwn(STATUS_BAD_GATEWAY, undefined);
    else this.#answer.send(status, this.#wire.filterResponseHeaders(headerLines), body);
  }

  /**
   * Sends an answer of the gateway's own.
   *
   * @param status - HTTP status
   * @param retryAfterMs - time after which the caller may send the request again; undefined to say nothing
   */
  sendOwn(status: number, retryAfterMs: number | undefined): void {
    const lines = retryAfterMs === undefined ? [] : this.#wire.buildRetryAfterHeader(retryAfterMs);
    this.#answer.send(status, lines, EMPTY_BODY);
  }

  /** Closes the connection before the end of an answer, so that the caller sees that it is incomplete. */
  abort(): void {
    this.#answer.abort();
  }
}
