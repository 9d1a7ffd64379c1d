import { filterResponseHeaders, REQUEST_ID_HEADER } from '../../protocol/caller/headers.ts';
import type {
  EndpointCall,
  EndpointEvent,
  EndpointRequest,
} from '../../protocol/engine/EndpointClient.ts';
import { EndConfirmation, EventCutter, exchange } from '../http/index.ts';
import type { ConnectionPool, Exchange, ExchangeEvent } from '../http/index.ts';
import { endpointHeaders } from './endpointHeaders.ts';

/** A request at a plain service: passed through once, without resume. */
export class ServiceCall implements EndpointCall {
  readonly #request: EndpointRequest;

  readonly #onEvent: (event: EndpointEvent) => void;

  readonly #exchange: Exchange;

  readonly #endConfirmation: EndConfirmation;

  #headSeen = false;

  /** Cuts an event stream after complete events; undefined for other answers. */
  #eventCutter: EventCutter | undefined;

  #ended = false;

  constructor(
    pool: ConnectionPool,
    request: EndpointRequest,
    onEvent: (event: EndpointEvent) => void,
  ) {
    this.#request = request;
    this.#onEvent = onEvent;
    // `OPTIONS *` asks nothing of a service but an answer.
    this.#endConfirmation = new EndConfirmation({
      pool,
      address: request.address,
      method: 'OPTIONS',
      path: '*',
      isRepeatable: request.idempotent,
    });
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
    this.#endConfirmation.close();
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
    this.#endConfirmation.observe(event);
    switch (event._tag) {
      case 'written':
        return;
      case 'refused':
        this.#onEvent(event);
        return;
      case 'head':
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
    this.#endConfirmation.confirm((reason) => {
      if (this.#ended) return;
      if (reason === undefined) this.#onEnded();
      else this.#fail(`the answer has no end mark, and ${reason}`);
    });
  }

  #onEnded(): void {
    if (this.#eventCutter?.isInsideEvent === true) {
      this.#fail('stream ended inside an event');
      return;
    }
    this.#endConfirmation.close();
    this.#tellPart(this.#eventCutter?.rest() ?? Buffer.alloc(0));
    this.#onEvent({ _tag: 'ended', usage: undefined });
  }

  #tellPart(bytes: Buffer): void {
    if (bytes.length > 0) this.#onEvent({ _tag: 'part', bytes });
  }

  #fail(detail: string): void {
    this.#endConfirmation.close();
    this.#onEvent({
      _tag: 'failed',
      reason: this.#headSeen ? 'answer_cut' : 'endpoint_failed',
      detail,
    });
  }
}
