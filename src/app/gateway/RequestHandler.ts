import type { EndpointRecord } from '../../state/gateway/index.ts';
import type { InboundAnswer } from '../../transport/gateway/index.ts';
import { EndpointAttempt, type AttemptEvent } from './EndpointAttempt.ts';
import type { GatewayContext } from './GatewayContext.ts';
import { makePlacementTicket } from './makePlacementTicket.ts';
import type { PlacementAnswer } from './LocalTickets.ts';
import type { RoutedRequest } from './RoutedRequest.ts';

/** How a request ended, for logs and metrics. */
type RequestOutcome =
  | 'served'
  /** An endpoint's own failure was passed on. */
  | 'endpointFailed'
  /** It hasn't run and won't. */
  | 'refused'
  /** Nothing is promised. */
  | 'failed'
  /** The connection was closed within the answer. */
  | 'brokenOff'
  | 'callerLeft';

const STATUS = { unavailable: 503, tooMany: 429, badGateway: 502, gatewayTimeout: 504 } as const;
const FIRST_SERVER_ERROR = 500;
const EMPTY_BODY = Buffer.alloc(0);
/** Endpoints that one request is offered to before its caller is told to come back. */
const MAXIMUM_PLACEMENTS = 4;
/** Time after which a caller that found no endpoint may try again. */
const NO_ENDPOINT_RETRY_AFTER_MS = 400;
/** Time kept for an answer's way back before the caller's own limit. */
const ANSWER_MARGIN_MS = 15;

/** One request of a caller, from its route to its final answer. */
export class RequestHandler {
  readonly #context: GatewayContext;

  readonly #request: RoutedRequest;

  readonly #answer: InboundAnswer;

  readonly #deadlineAt: number;

  readonly #avoidedEndpoints: string[] = [];

  #attempt: EndpointAttempt | undefined;

  #ticketId: string | undefined;

  #placementCount = 0;

  /** Tries in which an endpoint may have begun to work. */
  #executionCount = 0;

  #lastEventId: string | undefined;

  #answerBegun = false;

  #finished = false;

  #deadlineTimer: NodeJS.Timeout | undefined;

  #firstByteMs = 0;

  constructor(context: GatewayContext, request: RoutedRequest, answer: InboundAnswer) {
    this.#context = context;
    this.#request = request;
    this.#answer = answer;
    const { route, inbound, fields } = request;
    this.#lastEventId = fields.lastEventId;
    const callerLimitMs = (fields.deadlineMs ?? route.timeoutMs) - ANSWER_MARGIN_MS;
    this.#deadlineAt = inbound.arrivedAt + Math.min(route.timeoutMs, Math.max(1, callerLimitMs));
  }

  /** Begins to serve the request. */
  start(): void {
    const now = this.#context.now();
    this.#answer.onClosed(() => this.#onCallerLeft());
    this.#answer.onDrain(() => this.#attempt?.resume());
    this.#deadlineTimer = setTimeout(() => this.#onDeadline(), Math.max(0, this.#deadlineAt - now));
    this.#context.retryBudget.countRequest(this.#request.service.name, now);
    this.#place();
  }

  /** Ends the request because the process ends. */
  abort(): void {
    if (this.#finished) return;
    this.#abandon(STATUS.badGateway, 'the process ends');
  }

  /** Looks for an endpoint. */
  #place(): void {
    this.#placementCount += 1;
    if (this.#request.service.engine === undefined) this.#placeAtPlainEndpoint();
    else this.#placeAtEngine();
  }

  #placeAtPlainEndpoint(): void {
    const { directory, plainEndpoints, random, now } = this.#context;
    const records = directory.ready(this.#request.service.name);
    const endpoint = plainEndpoints.pick(records, this.#avoidedEndpoints, random(), now());
    if (endpoint === undefined) this.#endUnserved('no endpoint', NO_ENDPOINT_RETRY_AFTER_MS);
    else this.#send(endpoint, undefined);
  }

  #placeAtEngine(): void {
    const now = this.#context.now();
    const ticket = makePlacementTicket(this.#request, {
      placementNumber: this.#placementCount,
      waitedMs: now - this.#request.inbound.arrivedAt,
      remainingMs: this.#deadlineAt - now,
      answerBegun: this.#answerBegun,
      avoid: this.#avoidedEndpoints,
    });
    this.#ticketId = ticket.id;
    this.#context.placements.requestSlot(ticket, (answer) =>
      this.#onPlacementAnswer(ticket.id, answer),
    );
  }

  #onPlacementAnswer(ticketId: string, answer: PlacementAnswer): void {
    if (this.#finished || this.#ticketId !== ticketId) return;
    this.#ticketId = undefined;
    if (answer._tag === 'refused') {
      const status = answer.reason === 'quota' ? STATUS.tooMany : STATUS.unavailable;
      this.#endUnserved(answer.reason, answer.retryAfterMs, status);
      return;
    }
    const endpoint = this.#context.directory.find(answer.endpoint);
    if (endpoint !== undefined) {
      this.#send(endpoint, ticketId);
      return;
    }
    // The scheduler hasn't heard yet that the endpoint leaves.
    this.#context.placements.releaseSlot(ticketId, { outcome: 'unused' });
    this.#avoidedEndpoints.push(answer.endpoint);
    this.#retryOrEnd('endpoint is leaving', { mayHaveRun: false, arrived: false });
  }

  #send(endpoint: EndpointRecord, ticketId: string | undefined): void {
    const current = new EndpointAttempt({
      context: this.#context,
      request: this.#request,
      endpoint,
      ticketId,
      remainingMs: this.#deadlineAt - this.#context.now(),
      lastEventId: this.#lastEventId,
      onEvent: (report) => this.#onAttemptEvent(current, report),
    });
    this.#attempt = current;
    current.start();
  }

  #onAttemptEvent(current: EndpointAttempt, report: AttemptEvent): void {
    if (this.#finished || this.#attempt !== current) return;
    switch (report._tag) {
      case 'streamed':
        if (report.lastEventId !== undefined) this.#lastEventId = report.lastEventId;
        this.#forward(current, report.bytes);
        return;
      case 'streamEnded':
        if (!this.#answerBegun) this.#beginAnswer(current);
        this.#finish('served', current.status, '', () => this.#answer.end());
        return;
      case 'answered':
        this.#onAnswered(current, report.body);
        return;
      case 'notRun':
        this.#avoidedEndpoints.push(current.endpoint.id);
        this.#retryOrEnd(report.detail, { mayHaveRun: false, arrived: report.arrived });
        return;
      case 'broken':
        this.#executionCount += 1;
        this.#avoidedEndpoints.push(current.endpoint.id);
        this.#retryOrEnd(report.detail, { mayHaveRun: true, arrived: true });
        return;
      default:
        report satisfies never;
    }
  }

  #beginAnswer({ status, headerLines }: EndpointAttempt): void {
    this.#answerBegun = true;
    this.#firstByteMs = this.#context.now() - this.#request.inbound.arrivedAt;
    this.#answer.begin(status, this.#context.wire.answerHeaders(headerLines));
  }

  #forward(current: EndpointAttempt, bytes: Uint8Array): void {
    if (!this.#answerBegun) this.#beginAnswer(current);
    if (!this.#answer.write(bytes)) current.pause();
  }

  #onAnswered(current: EndpointAttempt, body: Uint8Array): void {
    this.#executionCount += 1;
    const { status, headerLines, endpoint } = current;
    const failed = status >= FIRST_SERVER_ERROR;
    if (failed && this.#mayRetry() && this.#takeRetry()) {
      this.#avoidedEndpoints.push(endpoint.id);
      this.#place();
      return;
    }
    if (this.#answerBegun) {
      this.#abortAnswer(`the endpoint that went on answered ${status}`);
      return;
    }
    this.#firstByteMs = this.#context.now() - this.#request.inbound.arrivedAt;
    const lines = this.#context.wire.answerHeaders(headerLines);
    this.#finish(failed ? 'endpointFailed' : 'served', status, '', () =>
      this.#answer.send(status, lines, body),
    );
  }

  /** Whether the request may run once more. */
  #mayRetry(): boolean {
    const { route } = this.#request;
    const isRetryable = route.kind === 'safe' || (route.kind === 'stream' && route.resumable);
    return (
      isRetryable &&
      this.#executionCount < route.maximumAttempts &&
      this.#deadlineAt > this.#context.now()
    );
  }

  #takeRetry(): boolean {
    const { retryBudget, memberCount, now } = this.#context;
    return retryBudget.tryRepeat(this.#request.service.name, memberCount(), now());
  }

  /** Tries another endpoint where that is allowed, or gives the final answer. */
  #retryOrEnd(
    detail: string,
    { mayHaveRun, arrived }: { readonly mayHaveRun: boolean; readonly arrived: boolean },
  ): void {
    const mayPlace = mayHaveRun || this.#executionCount > 0 ? this.#mayRetry() : true;
    const hasPlacementsLeft = this.#placementCount < MAXIMUM_PLACEMENTS;
    if (mayPlace && hasPlacementsLeft && (!arrived || this.#takeRetry())) this.#place();
    else this.#endUnserved(detail, NO_ENDPOINT_RETRY_AFTER_MS);
  }

  #onDeadline(): void {
    if (!this.#finished) this.#abandon(STATUS.gatewayTimeout, 'time is over');
  }

  /** Cancels what is under way and gives the final answer. */
  #abandon(status: number, reason: string): void {
    if (this.#attempt !== undefined && !this.#attempt.ended && this.#attempt.written)
      this.#executionCount += 1;
    this.#cancel();
    this.#endUnserved(reason, NO_ENDPOINT_RETRY_AFTER_MS, STATUS.unavailable, status);
  }

  #onCallerLeft(): void {
    if (this.#finished) return;
    this.#cancel();
    this.#finish('callerLeft', 0, '', () => {});
  }

  #cancel(): void {
    if (this.#ticketId !== undefined) this.#context.placements.withdraw(this.#ticketId);
    this.#ticketId = undefined;
    this.#attempt?.cancel();
  }

  /** Gives the final answer of a request that isn't served: as much as is known to be true. */
  #endUnserved(
    reason: string,
    retryAfterMs: number,
    refusal: number = STATUS.unavailable,
    failure: number = STATUS.badGateway,
  ): void {
    if (this.#answerBegun) {
      this.#abortAnswer(reason);
      return;
    }
    if (this.#executionCount > 0) {
      this.#finish('failed', failure, reason, () => this.#answer.send(failure, [], EMPTY_BODY));
      return;
    }
    const header = this.#context.wire.retryAfterHeader(retryAfterMs);
    this.#finish('refused', refusal, reason, () => this.#answer.send(refusal, header, EMPTY_BODY));
  }

  /** Ends an answer that was begun in a way that can't be taken for its end. */
  #abortAnswer(reason: string): void {
    this.#finish('brokenOff', 0, reason, () => this.#answer.abort());
  }

  #finish(outcome: RequestOutcome, status: number, reason: string, sendAnswer: () => void): void {
    if (this.#finished) return;
    this.#finished = true;
    clearTimeout(this.#deadlineTimer);
    sendAnswer();
    const { metrics, onFinished } = this.#context;
    const { route } = this.#request;
    metrics.countRequest(route.name, outcome, status);
    if (outcome === 'served') metrics.recordFirstByteLatency(route.name, this.#firstByteMs);
    this.#log(outcome, status, reason);
    onFinished(this);
  }

  #log(outcome: RequestOutcome, status: number, reason: string): void {
    const { id, route, account, service, inbound, configurationVersion, fields } = this.#request;
    this.#context.logger.info(
      {
        request: id,
        route: route.name,
        account: account?.name,
        service: service.name,
        outcome,
        status,
        reason,
        endpoint: this.#attempt?.endpoint.id,
        offers: this.#placementCount,
        runs: this.#executionCount,
        promptTokens: fields.promptTokens,
        maximumOutputTokens: fields.maximumOutputTokens,
        expectedOutputTokens: fields.expectedOutputTokens,
        deadlineMs: fields.deadlineMs,
        waitedBeforeMs: this.#request.waitedBeforeMs,
        firstByteMs: Math.round(this.#firstByteMs),
        totalMs: Math.round(this.#context.now() - inbound.arrivedAt),
        configurationVersion,
      },
      'request ended',
    );
  }
}
