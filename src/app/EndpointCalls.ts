import type { CallerAnswer, CallerRequest } from '../protocol/caller/CallerRequest.ts';
import type {
  EndpointCall,
  EndpointClient,
  EndpointEvent,
  EndpointRequest,
  Usage,
} from '../protocol/engine/EndpointClient.ts';
import type { UnknownReason } from '../state/Outcome.ts';

const LOWEST_SERVER_ERROR = 500;
const NOT_FOUND = 404;

/** What a call's progress means for the request's home. */
export interface CallListener {
  readonly progressed: (id: string) => void;
  readonly completed: (
    id: string,
    usage: Usage | undefined,
    result: 'completed' | 'failed',
  ) => void;
  readonly failed: (id: string, reason: UnknownReason) => void;
  readonly refused: (id: string) => void;
}

/** A caller's request with its answer, for as long as it is served. */
interface Exchange {
  readonly request: CallerRequest;
  readonly answer: CallerAnswer;
  readonly streamed: boolean;
  call: EndpointCall | undefined;
  /** Status of the endpoint's answer, 0 before its head. */
  status: number;
}

/** An engine that hasn't got the version or model answers 404, and surely did not run the request. */
const isVersionMissing = (event: EndpointEvent): boolean =>
  event._tag === 'head' && event.status === NOT_FOUND;

/** Carries answers from endpoints to callers, byte for byte, and tells the home what it needs to know. */
export class EndpointCalls {
  readonly #exchanges = new Map<string, Exchange>();

  /**
   * @param client - the way to endpoints
   * @param listener - the home
   */
  constructor(
    private readonly client: EndpointClient,
    private readonly listener: CallListener,
  ) {}

  /**
   * Keeps a caller's request until it ends.
   *
   * @param id - the request's id
   * @param request - the request as received
   * @param answer - where its answer goes
   * @param streamed - whether the caller wants server-sent events
   */
  register(id: string, request: CallerRequest, answer: CallerAnswer, streamed: boolean): void {
    this.#exchanges.set(id, { request, answer, streamed, call: undefined, status: 0 });
  }

  /**
   * Gives a kept request.
   *
   * @param id - the request's id
   * @returns the request and its answer, undefined once it has ended
   */
  find(id: string): Pick<Exchange, 'request' | 'answer'> | undefined {
    return this.#exchanges.get(id);
  }

  /**
   * Writes a kept request to an endpoint.
   *
   * @param id - the request's id
   * @param target - where it goes
   */
  start(
    id: string,
    target: Pick<EndpointRequest, 'address' | 'version' | 'idempotent' | 'engine'>,
  ): void {
    const exchange = this.#exchanges.get(id);
    if (exchange === undefined) throw new Error(`no caller's request is kept for ${id}`);
    const { method, path, headers, body } = exchange.request;
    const form = exchange.streamed ? 'events' : 'whole';
    const request: EndpointRequest = { id, method, path, headers, body, form, ...target };
    let attempt: 'current' | 'over' = 'current';
    const call = this.client.call(request, (event) => {
      if (attempt === 'over') return;
      if (event._tag === 'refused' || (target.engine && isVersionMissing(event))) {
        attempt = 'over';
        exchange.call?.cancel();
        exchange.call = undefined;
        this.listener.refused(id);
        return;
      }
      this.#relay(id, exchange, event, target.engine);
    });
    if (attempt === 'current') exchange.call = call;
  }

  /**
   * Stops a request's call.
   *
   * @param id - the request's id
   */
  cancel(id: string): void {
    this.#exchanges.get(id)?.call?.cancel();
  }

  /**
   * Suspends a request's stream at its engine.
   *
   * @param id - the request's id
   */
  suspend(id: string): void {
    this.#exchanges.get(id)?.call?.suspend();
  }

  /**
   * Takes a suspended stream up again.
   *
   * @param id - the request's id
   */
  resume(id: string): void {
    this.#exchanges.get(id)?.call?.resume();
  }

  /**
   * Forgets a request that has ended.
   *
   * @param id - the request's id
   */
  unregister(id: string): void {
    this.#exchanges.delete(id);
  }

  #relay(id: string, exchange: Exchange, event: EndpointEvent, engine: boolean): void {
    const { answer } = exchange;
    switch (event._tag) {
      case 'head':
        this.#relayHead(id, exchange, event, engine);
        return;
      case 'part':
        this.listener.progressed(id);
        answer.part(event.bytes);
        return;
      case 'event':
        this.listener.progressed(id);
        answer.event(event.data, event.index);
        return;
      case 'resumed':
        return;
      case 'ended':
        answer.end();
        this.listener.completed(
          id,
          event.usage,
          exchange.status < LOWEST_SERVER_ERROR ? 'completed' : 'failed',
        );
        return;
      case 'failed':
        this.listener.failed(id, event.reason);
        return;
      case 'refused':
        return;
      default:
        event satisfies never;
    }
  }

  #relayHead(
    id: string,
    exchange: Exchange,
    head: Extract<EndpointEvent, { _tag: 'head' }>,
    engine: boolean,
  ): void {
    const { status } = head;
    Object.assign(exchange, { status });
    if (status < LOWEST_SERVER_ERROR || !engine) {
      exchange.answer.head(status, head.headers);
      return;
    }
    // An engine's own failure says nothing of how far the request got.
    exchange.call?.cancel();
    this.listener.failed(id, 'endpoint_failed');
  }
}
