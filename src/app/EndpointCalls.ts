import type { CallerResponse, CallerRequest } from '../protocol/caller/CallerService.ts';
import type {
  EndpointCall,
  EndpointClient,
  EndpointEvent,
  EndpointRequest,
  TokenUsage,
} from '../protocol/engine/EndpointClient.ts';
import type { UnknownOutcomeReason } from '../state/RequestOutcome.ts';

const LOWEST_SERVER_ERROR_STATUS = 500;
const NOT_FOUND_STATUS = 404;

/** Receives the progress and the end of calls on behalf of the requests' home; `id` is a request id. */
export interface CallListener {
  /** A part of the response body has arrived. */
  readonly progressed: (id: string) => void;
  /** The response is complete; `result` is `failed` for a server error, and usage is undefined if not reported. */
  readonly completed: (
    id: string,
    usage: TokenUsage | undefined,
    result: 'completed' | 'failed',
  ) => void;
  /** The call broke off, so that the request's outcome is unknown. */
  readonly failed: (id: string, reason: UnknownOutcomeReason) => void;
  /** The endpoint did not run the request, so that it may be dispatched to another one. */
  readonly refused: (id: string) => void;
}

/** A caller's request in progress, with its response and its call to an endpoint. */
interface Exchange {
  readonly request: CallerRequest;
  readonly response: CallerResponse;
  readonly streamed: boolean;
  call: EndpointCall | undefined;
  /** HTTP status of the endpoint's response, 0 before its head has arrived. */
  status: number;
}

/** Whether an engine lacks the requested version or model; it then responds 404 without running the request. */
const isVersionMissing = (event: EndpointEvent): boolean =>
  event._tag === 'head' && event.status === NOT_FOUND_STATUS;

/** Forwards responses from endpoints to callers byte for byte and reports the progress of calls to the home. */
export class EndpointCalls {
  readonly #exchanges = new Map<string, Exchange>();

  /**
   * @param client - sends requests to endpoints
   * @param listener - receives the progress and the end of calls
   */
  constructor(
    private readonly client: EndpointClient,
    private readonly listener: CallListener,
  ) {}

  /**
   * Registers a caller's request until it ends.
   *
   * @param id - the request's id
   * @param request - the request as received
   * @param response - response to the caller
   * @param streamed - whether the caller requested server-sent events
   */
  register(id: string, request: CallerRequest, response: CallerResponse, streamed: boolean): void {
    this.#exchanges.set(id, { request, response, streamed, call: undefined, status: 0 });
  }

  /**
   * Finds a registered request.
   *
   * @param id - the request's id
   * @returns the request and its response, undefined after it has ended
   */
  find(id: string): Pick<Exchange, 'request' | 'response'> | undefined {
    return this.#exchanges.get(id);
  }

  /**
   * Sends a registered request to an endpoint.
   *
   * @param id - the request's id
   * @param target - the endpoint, and how the request may be treated there
   * @throws Error if the request isn't registered
   */
  start(
    id: string,
    target: Pick<EndpointRequest, 'address' | 'version' | 'idempotent' | 'engine' | 'mayWrite'>,
  ): void {
    const exchange = this.#exchanges.get(id);
    if (exchange === undefined) throw new Error(`no request is registered under the id ${id}`);
    const { method, path, headers, body } = exchange.request;
    const responseForm = exchange.streamed ? 'events' : 'whole';
    const request: EndpointRequest = {
      id,
      method,
      path,
      headers,
      body,
      responseForm,
      ...target,
    };
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
      this.#forwardEvent(id, exchange, event, target.engine);
    });
    if (attempt === 'current') exchange.call = call;
  }

  /**
   * Cancels a request's call.
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
   * Resumes a suspended stream.
   *
   * @param id - the request's id
   */
  resume(id: string): void {
    this.#exchanges.get(id)?.call?.resume();
  }

  /**
   * Removes a request that has ended.
   *
   * @param id - the request's id
   */
  unregister(id: string): void {
    this.#exchanges.delete(id);
  }

  #forwardEvent(id: string, exchange: Exchange, event: EndpointEvent, isEngine: boolean): void {
    const { response } = exchange;
    switch (event._tag) {
      case 'head':
        this.#forwardHead(id, exchange, event, isEngine);
        return;
      case 'part':
        this.listener.progressed(id);
        response.sendPart(event.bytes);
        return;
      case 'event':
        this.listener.progressed(id);
        response.sendEvent(event.data, event.index);
        return;
      case 'resumed':
        return;
      case 'ended':
        response.end();
        this.listener.completed(
          id,
          event.usage,
          exchange.status < LOWEST_SERVER_ERROR_STATUS ? 'completed' : 'failed',
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

  #forwardHead(
    id: string,
    exchange: Exchange,
    head: Extract<EndpointEvent, { _tag: 'head' }>,
    isEngine: boolean,
  ): void {
    const { status } = head;
    Object.assign(exchange, { status });
    if (status < LOWEST_SERVER_ERROR_STATUS || !isEngine) {
      exchange.response.sendHead(status, head.headers);
      return;
    }
    // An engine's server error doesn't show whether or how far the request ran.
    exchange.call?.cancel();
    this.listener.failed(id, 'endpoint_failed');
  }
}
