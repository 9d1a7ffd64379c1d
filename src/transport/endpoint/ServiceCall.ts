import { filterResponseHeaders, REQUEST_ID_HEADER } from '../../protocol/caller/headers.ts';
import type {
  EndpointCall,
  EndpointEvent,
  EndpointRequest,
} from '../../protocol/engine/EndpointClient.ts';
import { confirmServerRuns, EventCutter, exchange } from '../http/index.ts';
import type { AnswerFraming, ConnectionPool, Exchange, ExchangeEvent } from '../http/index.ts';
import { endpointHeaders } from './endpointHeaders.ts';

/** A request at a plain service: passed through once, without resume. */
export class ServiceCall implements EndpointCall {
  readonly #request: EndpointRequest;

  readonly #onEvent: (event: EndpointEvent) => void;

  readonly #exchange: Exchange;

  readonly #pool: ConnectionPool;

  #headSeen = false;

  /** How the end of the answer is marked; undefined until its head arrives. */
  #framing: AnswerFraming | undefined;

  /** Cuts an event stream after complete events; undefined for other answers. */
  #eventCutter: EventCutter | undefined;

  #ended = false;

  constructor(
    pool: ConnectionPool,
    request: EndpointRequest,
    onEvent: (event: EndpointEvent) => void,
  ) {
    this.#pool = pool;
    this.#request = request;
    this.#onEvent = onEvent;
    this.#exchange = exchange(
      pool,
      {
        address: request.address,
        id: request.id,
        method: request.method,
        path: request.path,
        headers: endpointHeaders(request),
        body: request.body.length > 0 ? request.body : undefined,
        fresh: false,
        silenceMs: undefined,
        mayWrite: request.mayWrite,
      },
      (event) => this.#onExchange(event),
    );
  }

  cancel(): void {
    this.#ended = true;
    this.#exchange.abort();
  }

  /** Plain services can't be suspended. */
  // eslint-disable-next-line class-methods-use-this
  suspend(): void {}

  /** Plain services can't be suspended. */
  // eslint-disable-next-line class-methods-use-this
  resume(): void {}

  #onExchange(event: ExchangeEvent): void {
    if (this.#ended) return;
    switch (event._tag) {
      case 'written':
        return;
      case 'refused':
        this.#onEvent(event);
        return;
      case 'head':
        this.#framing = event.framing;
        this.#onHead(event.status, event.headers);
        return;
      case 'data':
        this.#tellPart(this.#eventCutter?.push(event.bytes).bytes ?? event.bytes);
        return;
      case 'ended':
        this.#confirmEnd();
        return;
      case 'broken':
        this.#fail(event.detail);
        return;
      default:
        event satisfies never;
    }
  }

  #onHead(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void {
    const echoed = headers[REQUEST_ID_HEADER];
    if (echoed !== undefined && echoed !== this.#request.id) {
      // The exchange may still be in its constructor's call when the first answer comes.
      queueMicrotask(() => this.cancel());
      this.#ended = true;
      this.#onEvent({
        _tag: 'failed',
        reason: 'answer_crossed',
        detail: `answer is for request ${String(echoed)}`,
      });
      return;
    }
    this.#headSeen = true;
    if (String(headers['content-type'] ?? '').startsWith('text/event-stream'))
      this.#eventCutter = new EventCutter();
    this.#onEvent({ _tag: 'head', status, headers: filterResponseHeaders(headers) });
  }

  /** The end of the connection alone is also what the end of the service's process looks like. */
  #confirmEnd(): void {
    if (this.#framing !== 'close') {
      this.#onEnded();
      return;
    }
    confirmServerRuns(this.#pool, this.#request.address, (runs) => {
      if (this.#ended) return;
      if (runs) this.#onEnded();
      else this.#fail('the service is gone, and its answer has no end mark');
    });
  }

  #onEnded(): void {
    if (this.#eventCutter?.isInsideEvent === true) {
      this.#fail('stream ended inside an event');
      return;
    }
    this.#tellPart(this.#eventCutter?.rest() ?? Buffer.alloc(0));
    this.#onEvent({ _tag: 'ended', usage: undefined });
  }

  #tellPart(bytes: Buffer): void {
    if (bytes.length > 0) this.#onEvent({ _tag: 'part', bytes });
  }

  #fail(detail: string): void {
    this.#onEvent({
      _tag: 'failed',
      reason: this.#headSeen ? 'answer_cut' : 'endpoint_failed',
      detail,
    });
  }
}
