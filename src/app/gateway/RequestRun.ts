import type { EndpointRecord } from '../../state/gateway/index.ts';
import type { InboundAnswer } from '../../transport/gateway/index.ts';
import { EndpointTry, type TryReport } from './EndpointTry.ts';
import type { GatewayParts } from './GatewayParts.ts';
import { makeTicket } from './makeTicket.ts';
import type { PlacementAnswer } from './DeskTickets.ts';
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
const EMPTY = Buffer.alloc(0);
/** Endpoints that one request is offered to before its caller is told to come back. */
const MAXIMUM_OFFERS = 4;
/** Time after which a caller that found no endpoint may try again. */
const NO_ENDPOINT_RETRY_MS = 400;
/** Time kept for an answer's way back before the caller's own limit. */
const ANSWER_MARGIN_MS = 15;

/** One request of a caller, from its route to its final answer. */
export class RequestRun {
  readonly #parts: GatewayParts;

  readonly #request: RoutedRequest;

  readonly #answer: InboundAnswer;

  readonly #endsAt: number;

  readonly #avoid: string[] = [];

  #try: EndpointTry | undefined;

  #ticketId: string | undefined;

  #offers = 0;

  /** Tries in which an endpoint may have begun to work. */
  #runs = 0;

  #lastEventId: string | undefined;

  #begun = false;

  #done = false;

  #timer: NodeJS.Timeout | undefined;

  #firstByteMs = 0;

  constructor(parts: GatewayParts, request: RoutedRequest, answer: InboundAnswer) {
    this.#parts = parts;
    this.#request = request;
    this.#answer = answer;
    const { route, inbound, fields } = request;
    this.#lastEventId = fields.lastEventId;
    const callerMs = (fields.deadlineMs ?? route.timeoutMs) - ANSWER_MARGIN_MS;
    this.#endsAt = inbound.arrivedAt + Math.min(route.timeoutMs, Math.max(1, callerMs));
  }

  /** Begins to serve the request. */
  start(): void {
    const now = this.#parts.now();
    this.#answer.onClosed(() => this.#onCallerGone());
    this.#answer.onDrain(() => this.#try?.resume());
    this.#timer = setTimeout(() => this.#onTimeout(), Math.max(0, this.#endsAt - now));
    this.#parts.budget.countRequest(this.#request.service.name, now);
    this.#offer();
  }

  /** Ends the request because the process ends. */
  abort(): void {
    if (this.#done) return;
    this.#giveUp(STATUS.badGateway, 'the process ends');
  }

  /** Looks for an endpoint. */
  #offer(): void {
    this.#offers += 1;
    if (this.#request.service.engine === undefined) this.#offerPlain();
    else this.#offerEngine();
  }

  #offerPlain(): void {
    const { directory, plain, random, now } = this.#parts;
    const records = directory.listReady(this.#request.service.name);
    const endpoint = plain.pick(records, this.#avoid, random(), now());
    if (endpoint === undefined) this.#end('no endpoint', NO_ENDPOINT_RETRY_MS);
    else this.#send(endpoint, undefined);
  }

  #offerEngine(): void {
    const now = this.#parts.now();
    const ticket = makeTicket(this.#request, {
      placementNumber: this.#offers,
      waitedMs: now - this.#request.inbound.arrivedAt,
      remainingMs: this.#endsAt - now,
      begun: this.#begun,
      avoid: this.#avoid,
    });
    this.#ticketId = ticket.id;
    this.#parts.desk.requestSlot(ticket, (answer) => this.#onPlaced(ticket.id, answer));
  }

  #onPlaced(ticketId: string, answer: PlacementAnswer): void {
    if (this.#done || this.#ticketId !== ticketId) return;
    this.#ticketId = undefined;
    if (answer._tag === 'refused') {
      const status = answer.reason === 'quota' ? STATUS.tooMany : STATUS.unavailable;
      this.#end(answer.reason, answer.retryAfterMs, status);
      return;
    }
    const endpoint = this.#parts.directory.findReady(answer.endpoint);
    if (endpoint !== undefined) {
      this.#send(endpoint, ticketId);
      return;
    }
    // The scheduler hasn't heard yet that the endpoint leaves.
    this.#parts.desk.releaseSlot(ticketId, { outcome: 'unused' });
    this.#avoid.push(answer.endpoint);
    this.#offerAgain('endpoint is leaving', { mayHaveRun: false, arrived: false });
  }

  #send(endpoint: EndpointRecord, ticketId: string | undefined): void {
    const current = new EndpointTry({
      parts: this.#parts,
      request: this.#request,
      endpoint,
      ticketId,
      remainingMs: this.#endsAt - this.#parts.now(),
      lastEventId: this.#lastEventId,
      onReport: (report) => this.#onReport(current, report),
    });
    this.#try = current;
    current.start();
  }

  #onReport(current: EndpointTry, report: TryReport): void {
    if (this.#done || this.#try !== current) return;
    switch (report._tag) {
      case 'streamed':
        if (report.lastEventId !== undefined) this.#lastEventId = report.lastEventId;
        this.#forward(current, report.bytes);
        return;
      case 'streamEnded':
        if (!this.#begun) this.#begin(current);
        this.#finish('served', current.status, '', () => this.#answer.end());
        return;
      case 'answered':
        this.#onAnswered(current, report.body);
        return;
      case 'notRun':
        this.#avoid.push(current.endpoint.id);
        this.#offerAgain(report.detail, { mayHaveRun: false, arrived: report.arrived });
        return;
      case 'broken':
        this.#runs += 1;
        this.#avoid.push(current.endpoint.id);
        this.#offerAgain(report.detail, { mayHaveRun: true, arrived: true });
        return;
      default:
        report satisfies never;
    }
  }

  #begin({ status, headerLines }: EndpointTry): void {
    this.#begun = true;
    this.#firstByteMs = this.#parts.now() - this.#request.inbound.arrivedAt;
    this.#answer.begin(status, this.#parts.wire.answerHeaders(headerLines));
  }

  #forward(current: EndpointTry, bytes: Uint8Array): void {
    if (!this.#begun) this.#begin(current);
    if (!this.#answer.write(bytes)) current.pause();
  }

  #onAnswered(current: EndpointTry, body: Uint8Array): void {
    this.#runs += 1;
    const { status, headerLines, endpoint } = current;
    const failed = status >= FIRST_SERVER_ERROR;
    if (failed && this.#mayRepeat() && this.#takeRepeat()) {
      this.#avoid.push(endpoint.id);
      this.#offer();
      return;
    }
    if (this.#begun) {
      this.#breakOff(`the endpoint that went on answered ${status}`);
      return;
    }
    this.#firstByteMs = this.#parts.now() - this.#request.inbound.arrivedAt;
    const lines = this.#parts.wire.answerHeaders(headerLines);
    this.#finish(failed ? 'endpointFailed' : 'served', status, '', () =>
      this.#answer.send(status, lines, body),
    );
  }

  /** Whether the request may run once more. */
  #mayRepeat(): boolean {
    const { route } = this.#request;
    const isRepeatable = route.kind === 'safe' || (route.kind === 'stream' && route.resumable);
    return isRepeatable && this.#runs < route.maximumAttempts && this.#endsAt > this.#parts.now();
  }

  #takeRepeat(): boolean {
    const { budget, memberCount: members, now } = this.#parts;
    return budget.tryRepeat(this.#request.service.name, members(), now());
  }

  /** Tries another endpoint where that is allowed, or gives the final answer. */
  #offerAgain(
    detail: string,
    { mayHaveRun, arrived }: { readonly mayHaveRun: boolean; readonly arrived: boolean },
  ): void {
    const mayTry = mayHaveRun || this.#runs > 0 ? this.#mayRepeat() : true;
    const hasOffers = this.#offers < MAXIMUM_OFFERS;
    if (mayTry && hasOffers && (!arrived || this.#takeRepeat())) this.#offer();
    else this.#end(detail, NO_ENDPOINT_RETRY_MS);
  }

  #onTimeout(): void {
    if (!this.#done) this.#giveUp(STATUS.gatewayTimeout, 'time is over');
  }

  /** Cancels what is under way and gives the final answer. */
  #giveUp(status: number, reason: string): void {
    if (this.#try !== undefined && !this.#try.ended && this.#try.written) this.#runs += 1;
    this.#cancel();
    this.#end(reason, NO_ENDPOINT_RETRY_MS, STATUS.unavailable, status);
  }

  #onCallerGone(): void {
    if (this.#done) return;
    this.#cancel();
    this.#finish('callerLeft', 0, '', () => {});
  }

  #cancel(): void {
    if (this.#ticketId !== undefined) this.#parts.desk.withdraw(this.#ticketId);
    this.#ticketId = undefined;
    this.#try?.cancel();
  }

  /** Gives the final answer of a request that isn't served: as much as is known to be true. */
  #end(
    reason: string,
    retryAfterMs: number,
    refusal: number = STATUS.unavailable,
    failure: number = STATUS.badGateway,
  ): void {
    if (this.#begun) {
      this.#breakOff(reason);
      return;
    }
    if (this.#runs > 0) {
      this.#finish('failed', failure, reason, () => this.#answer.send(failure, [], EMPTY));
      return;
    }
    const header = this.#parts.wire.retryAfterHeader(retryAfterMs);
    this.#finish('refused', refusal, reason, () => this.#answer.send(refusal, header, EMPTY));
  }

  /** Ends an answer that was begun in a way that can't be taken for its end. */
  #breakOff(reason: string): void {
    this.#finish('brokenOff', 0, reason, () => this.#answer.abort());
  }

  #finish(outcome: RequestOutcome, status: number, reason: string, tell: () => void): void {
    if (this.#done) return;
    this.#done = true;
    clearTimeout(this.#timer);
    tell();
    const { metrics, onDone } = this.#parts;
    const { route } = this.#request;
    metrics.countEnded(route.name, outcome, status);
    if (outcome === 'served') metrics.recordFirstByte(route.name, this.#firstByteMs);
    this.#log(outcome, status, reason);
    onDone(this);
  }

  #log(outcome: RequestOutcome, status: number, reason: string): void {
    const { id, route, account, service, inbound, configurationVersion, fields } = this.#request;
    this.#parts.logger.info(
      {
        request: id,
        route: route.name,
        account: account?.name,
        service: service.name,
        outcome,
        status,
        reason,
        endpoint: this.#try?.endpoint.id,
        offers: this.#offers,
        runs: this.#runs,
        promptTokens: fields.promptTokens,
        maximumOutputTokens: fields.maximumOutputTokens,
        expectedOutputTokens: fields.expectedOutputTokens,
        deadlineMs: fields.deadlineMs,
        waitedBeforeMs: this.#request.waitedBeforeMs,
        firstByteMs: Math.round(this.#firstByteMs),
        totalMs: Math.round(this.#parts.now() - inbound.arrivedAt),
        configurationVersion,
      },
      'request ended',
    );
  }
}
