import type { DecodedResponseHeaders, ForwardEnvelope } from '../../../protocol/gateway/index.ts';
import type { Member } from '../../../state/Member.ts';
import type {
  AnswerFraming,
  ConnectionUse,
  Exchange,
  ExchangeEvent,
} from '../../../transport/http/index.ts';
import { AnswerReader, type ReadOutcome } from '../request/AnswerReader.ts';
import type { GatewayContext } from '../GatewayContext.ts';
import type { AttemptEvent, RequestAttempt } from '../request/RequestAttempt.ts';
import type { RoutedRequest } from '../request/RoutedRequest.ts';

/** A request, the peer that is to have it served, and what that peer must know. */
export interface PeerAttemptOptions {
  readonly context: GatewayContext;
  readonly request: RoutedRequest;
  readonly peer: Member;
  readonly envelope: ForwardEnvelope;
  readonly onEvent: (event: AttemptEvent) => void;
}

/** Status by which a peer declines a forwarded request: it has not run, and another peer may take it. */
export const STATUS_DECLINED = 421;
/** Statuses of gateways that promise that the request has not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 429, 503];
/** Other statuses of this class come from peers that can't take the request, such as those of an older build. */
const isClientError = (status: number): boolean => status >= 400 && status < 500;

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** Has a peer send one request to an endpoint, and reads the answer that the peer passes on. */
export class PeerAttempt implements RequestAttempt {
  readonly kind = 'peer';

  readonly viewAge = undefined;

  readonly writing = undefined;

  readonly #options: PeerAttemptOptions;

  readonly #reader: AnswerReader;

  #exchange: Exchange | undefined;

  #answerFields: DecodedResponseHeaders | undefined;

  /** What the connection had carried before the request; undefined until it is written. */
  #connection: ConnectionUse | undefined;

  ended = false;

  written = false;

  heardAt: number;

  status = 0;

  headerLines: readonly string[] = [];

  framing: AnswerFraming | undefined;

  constructor(options: PeerAttemptOptions) {
    this.#options = options;
    this.heardAt = options.context.now();
    this.#reader = new AnswerReader(options.context.answerMemory, options.peer.incarnation, () =>
      this.#fail('the answers of the peer hold too much memory'),
    );
  }

  get target(): string {
    return this.#options.peer.incarnation;
  }

  get streamProgress(): { readonly events: number; readonly unfinishedBytes: number } {
    return this.#reader.progress;
  }

  start(): void {
    const { context, request, peer, envelope } = this.#options;
    context.forwarder.count(peer.incarnation, 1);
    this.#exchange = context.forwarder.send(peer, request.inbound, envelope, (event) =>
      this.#onExchange(event),
    );
  }

  cancel(): void {
    if (this.ended) return;
    this.#exchange?.abort();
    this.#end('cancelled', 'given up');
  }

  pause(): void {
    this.#exchange?.pause();
  }

  resume(): void {
    this.#exchange?.resume();
  }

  #onExchange(event: ExchangeEvent): void {
    if (this.ended) return;
    this.heardAt = this.#options.context.now();
    switch (event._tag) {
      case 'written':
        this.written = true;
        this.#connection = event.connection;
        return;
      case 'refused':
        this.#finish('unreachable', event.detail, {
          _tag: 'notRun',
          arrived: false,
          detail: event.detail,
        });
        return;
      case 'head':
        this.framing = event.framing;
        this.#reader.expect(event.headers['content-length']);
        this.status = event.status;
        this.headerLines = event.headerLines;
        this.#answerFields = this.#options.context.wire.readResponseHeaders(
          event.status,
          event.headerLines,
        );
        if (this.#isOfEndpoint && this.#answerFields.id !== this.#options.request.id)
          this.#fail('answer does not belong to this request');
        return;
      case 'data':
        this.#onData(event.bytes);
        return;
      case 'ended':
        this.#onEnded();
        return;
      case 'broken':
        this.#fail(event.detail);
        return;
      default:
        event satisfies never;
    }
  }

  /** Whether an endpoint gave the answer; otherwise the peer did. */
  get #isOfEndpoint(): boolean {
    return this.#answerFields?.isSigned === true;
  }

  get #isStream(): boolean {
    const { route } = this.#options.request;
    return this.#isOfEndpoint && route.kind === 'stream' && isSuccess(this.status);
  }

  #onData(bytes: Buffer): void {
    const outcome = this.#isStream ? this.#reader.readStream(bytes) : this.#reader.readBody(bytes);
    // The answer may have had to yield its memory.
    if (!this.ended) this.#apply(outcome);
  }

  #apply(outcome: ReadOutcome): void {
    switch (outcome._tag) {
      case 'event':
        this.#options.onEvent(outcome.event);
        return;
      case 'nothing':
        return;
      case 'unusable':
        this.#fail(outcome.detail);
        return;
      default:
        outcome satisfies never;
    }
  }

  #onEnded(): void {
    if (!this.#isOfEndpoint) {
      this.#onPeerAnswer();
      return;
    }
    if (!this.#isStream) {
      this.#finish('served', '', { _tag: 'answered', body: this.#reader.body() });
      return;
    }
    this.#apply(this.#reader.endStream(this.framing));
    if (!this.ended) this.#finish('served', '', { _tag: 'streamEnded' });
  }

  #onPeerAnswer(): void {
    const { status } = this;
    if (isClientError(status) && !NOT_RUN_STATUSES.includes(status)) {
      const detail = 'the peer declined the request';
      this.#finish('turnedAway', detail, { _tag: 'notRun', arrived: false, detail });
      return;
    }
    this.#finish('failed', `the peer answered with status ${status}`, {
      _tag: 'unserved',
      mayHaveRun: !NOT_RUN_STATUSES.includes(status),
      status,
      retryAfterMs: this.#answerFields?.retryAfterMs ?? 0,
    });
  }

  /** The peer may have sent the request to an endpoint. */
  #fail(detail: string): void {
    this.#exchange?.abort();
    this.#finish('failed', detail, { _tag: 'broken', detail, connectionLost: false });
  }

  #finish(result: string, detail: string, event: AttemptEvent): void {
    this.#end(result, detail);
    this.#options.onEvent(event);
  }

  #end(result: string, detail: string): void {
    this.ended = true;
    this.#reader.release();
    const { context, request, peer, envelope } = this.#options;
    context.forwarder.count(peer.incarnation, -1);
    context.metrics.countForwarding('sent', result);
    context.logger.info(
      {
        request: request.id,
        peer: peer.incarnation,
        forwarding: envelope.forwarding,
        result,
        detail,
        status: this.status,
        connection: this.#connection,
        ...this.streamProgress,
      },
      'forwarding ended',
    );
  }
}
