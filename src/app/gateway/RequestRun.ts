import type { AnswerFields, CallerFields } from '../../protocol/gateway/index.ts';
import type { PlacementResult, PlacementTicket } from '../../protocol/peer/Placement.ts';
import type { Account, EndpointRecord, Route, Service } from '../../state/gateway/index.ts';
import type { InboundAnswer, InboundRequest } from '../../transport/gateway/index.ts';
import { EventCounter, EventCutter } from '../../transport/gateway/index.ts';
import { exchange, type Exchange, type ExchangeEvent } from '../../transport/http/index.ts';
import type { GatewayParts } from './GatewayParts.ts';
import type { PlacementAnswer } from './PlacementDesk.ts';

/** A request whose route, account and service are settled. */
export interface RoutedRequest {
  readonly id: string;
  readonly inbound: InboundRequest;
  readonly fields: CallerFields;
  readonly route: Route;
  readonly account: Account | undefined;
  readonly service: Service;
  readonly configurationVersion: number;
}

/** How the last try at an endpoint ended, as far as it matters for what comes next. */
type TryEnd =
  /** Nothing was written, or the endpoint states that it didn't run. */
  | { readonly _tag: 'notRun'; readonly detail: string }
  /** It may have run. */
  | { readonly _tag: 'mayHaveRun'; readonly detail: string };

interface Try {
  readonly ticketId: string | undefined;
  readonly endpoint: EndpointRecord;
  readonly sentAt: number;
  exchange: Exchange | undefined;
  written: boolean;
  status: number;
  headerLines: readonly string[];
  answer: AnswerFields | undefined;
  readonly parts: Buffer[];
  /** Of this try alone: what one endpoint left unfinished doesn't go before what another one sends. */
  readonly cutter: EventCutter;
  size: number;
  firstByteAt: number | undefined;
  streaming: boolean;
  events: number;
  over: boolean;
}

const STATUS = { unavailable: 503, tooMany: 429, badGateway: 502, gatewayTimeout: 504 } as const;
const EMPTY = Buffer.alloc(0);
/** Endpoints that one request is offered to before its caller is told to come back. */
const MAXIMUM_OFFERS = 4;
/** Most bytes of an answer that is kept until it is whole. */
const MAXIMUM_WHOLE_BYTES = 8 * 1024 * 1024;
/** Time after which a caller that found no endpoint may try again. */
const NO_ENDPOINT_RETRY_MS = 400;
/** Time kept for an answer's way back before the caller's own limit. */
const ANSWER_MARGIN_MS = 15;

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** One request of a caller, from its route to its final answer. */
export class RequestRun {
  readonly #parts: GatewayParts;

  readonly #request: RoutedRequest;

  readonly #answer: InboundAnswer;

  readonly #endsAt: number;

  readonly #avoid: string[] = [];

  #try: Try | undefined;

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
    const now = this.#now();
    this.#answer.onClosed(() => this.#onCallerGone());
    this.#answer.onDrain(() => this.#try?.exchange?.resume());
    this.#timer = setTimeout(() => this.#onTimeout(), Math.max(0, this.#endsAt - now));
    this.#parts.budget.countRequest(this.#request.service.name, now);
    this.#offer();
  }

  /** Ends the request because the process ends. */
  abort(): void {
    if (this.#done) return;
    this.#abortTry('cancelled');
    if (this.#begun) this.#endBroken('the process ends');
    else if (this.#runs > 0) this.#fail(STATUS.badGateway, 'the process ends');
    else this.#refuse(STATUS.unavailable, 'the process ends', NO_ENDPOINT_RETRY_MS);
  }

  #now(): number {
    return this.#parts.now();
  }

  /** Looks for an endpoint. */
  #offer(): void {
    const { service, route } = this.#request;
    if (service.engine === undefined) {
      const records = this.#parts.directory.ready(service.name);
      const endpoint = this.#parts.plain.pick(
        records,
        this.#avoid,
        this.#parts.random(),
        this.#now(),
      );
      if (endpoint === undefined) {
        this.#refuse(STATUS.unavailable, 'no endpoint', NO_ENDPOINT_RETRY_MS);
        return;
      }
      this.#send(endpoint, undefined);
      return;
    }
    this.#offers += 1;
    const ticket = this.#ticket(route, service);
    this.#ticketId = ticket.id;
    this.#parts.desk.place(ticket, (answer) => this.#onPlaced(ticket.id, answer));
  }

  #ticket(route: Route, service: Service): PlacementTicket {
    const { id, fields, account, inbound } = this.#request;
    const now = this.#now();
    const waitedMs = now - inbound.arrivedAt;
    const tokens = fields.promptTokens + fields.maximumOutputTokens;
    const quotaUnits =
      account === undefined || this.#offers > 1
        ? 0
        : account.quota.unit === 'requests'
          ? 1
          : fields.sized
            ? tokens
            : account.quota.defaultTokens;
    return {
      id: `${id}/${this.#offers}`,
      service: service.name,
      route: route.name,
      ...(account && { account: account.name }),
      priority: account?.priority ?? route.priority,
      promptTokens: fields.promptTokens,
      outputTokens: Math.min(
        fields.expectedOutputTokens ?? fields.maximumOutputTokens,
        Math.max(1, fields.maximumOutputTokens),
      ),
      quotaUnits,
      targetMs: this.#begun ? this.#endsAt - now : route.targetLatencyMs - waitedMs,
      gapMs: route.targetGapMs,
      tokensPerEvent: service.engine?.tokensPerEvent ?? 1,
      remainingMs: this.#endsAt - now,
      avoid: this.#avoid.slice(-16),
    };
  }

  #onPlaced(ticketId: string, answer: PlacementAnswer): void {
    if (this.#done || this.#ticketId !== ticketId) return;
    this.#ticketId = undefined;
    if (answer._tag === 'refused') {
      const status = answer.reason === 'quota' ? STATUS.tooMany : STATUS.unavailable;
      this.#refuse(status, answer.reason, answer.retryAfterMs);
      return;
    }
    const endpoint = this.#parts.directory.find(answer.endpoint);
    if (endpoint !== undefined) {
      this.#send(endpoint, ticketId);
      return;
    }
    // The scheduler hasn't heard yet that the endpoint leaves.
    this.#parts.desk.ended(ticketId, { outcome: 'unused' });
    this.#avoid.push(answer.endpoint);
    this.#offerAgain({ _tag: 'notRun', detail: 'endpoint is leaving' }, false);
  }

  #send(endpoint: EndpointRecord, ticketId: string | undefined): void {
    const { inbound, account } = this.#request;
    const now = this.#now();
    const current: Try = {
      ticketId,
      endpoint,
      sentAt: now,
      exchange: undefined,
      written: false,
      status: 0,
      headerLines: [],
      answer: undefined,
      parts: [],
      cutter: new EventCutter(),
      size: 0,
      firstByteAt: undefined,
      streaming: false,
      events: 0,
      over: false,
    };
    this.#try = current;
    if (ticketId === undefined) {
      this.#offers += 1;
      this.#parts.plain.begin(endpoint);
    }
    const counter = new EventCounter();
    const handle = exchange(
      this.#parts.endpointPool,
      {
        address: `http://${endpoint.address}`,
        method: inbound.method,
        path: inbound.target,
        headers: {},
        headerLines: this.#parts.wire.forwardHeaders(inbound.headerLines, {
          remainingMs: this.#endsAt - now,
          endpointId: endpoint.id,
          account: account?.name,
          lastEventId: this.#lastEventId,
        }),
        body: inbound.body,
        fresh: false,
        silenceMs: undefined,
      },
      (event) => this.#onExchange(current, counter, event),
    );
    current.exchange = handle;
  }

  #onExchange(current: Try, counter: EventCounter, event: ExchangeEvent): void {
    if (current.over || this.#try !== current) return;
    switch (event._tag) {
      case 'written':
        current.written = true;
        return;
      case 'refused':
        this.#endTry(current, 'unreachable', event.detail);
        this.#offerAgain({ _tag: 'notRun', detail: event.detail }, false);
        return;
      case 'head':
        this.#onHead(current, event.status, event.headerLines);
        return;
      case 'data':
        this.#onData(current, counter, event.bytes);
        return;
      case 'ended':
        this.#onEnded(current, counter);
        return;
      case 'broken':
        this.#onBroken(current, event.detail);
        return;
      default:
        event satisfies never;
    }
  }

  #onHead(current: Try, status: number, headerLines: readonly string[]): void {
    const answer = this.#parts.wire.readAnswer(status, headerLines);
    const { id } = this.#request;
    current.status = status;
    current.headerLines = headerLines;
    current.answer = answer;
    const isOurs = answer.id === id || (answer.id === undefined && answer.notRun);
    if (isOurs && (answer.signed || answer.notRun) && !answer.encoded) return;
    // An answer to another request, or not an endpoint's answer at all.
    this.#onBroken(current, `answer is not for this request (status ${status})`);
  }

  #onData(current: Try, counter: EventCounter, bytes: Buffer): void {
    current.firstByteAt ??= this.#now();
    const { route } = this.#request;
    const isStream = route.kind === 'stream' && isSuccess(current.status);
    if (!isStream) {
      current.size += bytes.length;
      if (current.size > MAXIMUM_WHOLE_BYTES) this.#onBroken(current, 'answer is too long');
      else current.parts.push(bytes);
      return;
    }
    if (!current.streaming) {
      current.streaming = true;
      if (current.ticketId !== undefined) this.#parts.desk.started(current.ticketId);
    }
    counter.push(bytes);
    current.events = counter.count;
    if (!route.resumable) {
      this.#forward(current, bytes);
      return;
    }
    const whole = current.cutter.push(bytes);
    if (whole.lastId !== undefined) this.#lastEventId = whole.lastId;
    if (whole.bytes.length > 0) this.#forward(current, whole.bytes);
  }

  #forward(current: Try, bytes: Uint8Array): void {
    if (!this.#begun) {
      this.#begun = true;
      this.#firstByteMs = this.#now() - this.#request.inbound.arrivedAt;
      this.#answer.begin(current.status, this.#parts.wire.answerHeaders(current.headerLines));
    }
    if (!this.#answer.write(bytes)) current.exchange?.pause();
  }

  #onEnded(current: Try, counter: EventCounter): void {
    const { answer, status } = current;
    const { route, service } = this.#request;
    if (answer?.notRun && !answer.signed) {
      this.#endTry(current, 'turnedAway', `status ${status}`);
      this.#offerAgain({ _tag: 'notRun', detail: `turned away with ${status}` }, true);
      return;
    }
    this.#runs += 1;
    current.events = counter.count;
    if (isSuccess(status) && route.kind === 'stream') {
      this.#endTry(current, 'served', '');
      this.#endStream(current);
      return;
    }
    this.#endTry(current, isSuccess(status) || status < 500 ? 'served' : 'failed', `status ${status}`);
    const mayRepeat = status >= 500 && this.#mayRepeat();
    if (mayRepeat && this.#parts.budget.tryRepeat(service.name, this.#parts.members(), this.#now())) {
      this.#avoid.push(current.endpoint.id);
      this.#offer();
      return;
    }
    this.#deliverWhole(current);
  }

  #endStream(current: Try): void {
    if (!this.#begun) this.#forward(current, EMPTY);
    const rest = current.cutter.rest();
    if (rest.length > 0) this.#answer.write(rest);
    this.#finish('served', current.status, '', () => this.#answer.end());
  }

  #deliverWhole(current: Try): void {
    const { status, headerLines, parts } = current;
    this.#firstByteMs = this.#now() - this.#request.inbound.arrivedAt;
    const lines = this.#parts.wire.answerHeaders(headerLines);
    this.#finish(isSuccess(status) ? 'served' : 'endpointFailed', status, '', () =>
      this.#answer.send(status, lines, Buffer.concat(parts)),
    );
  }

  #onBroken(current: Try, detail: string): void {
    this.#runs += 1;
    current.exchange?.abort();
    this.#endTry(current, 'failed', detail);
    this.#offerAgain({ _tag: 'mayHaveRun', detail }, true);
  }

  /** Ends a try: frees its slot and learns from it. */
  #endTry(current: Try, outcome: PlacementResult['outcome'], detail: string): void {
    if (current.over) return;
    current.over = true;
    const now = this.#now();
    const { ticketId, endpoint, sentAt, firstByteAt, events } = current;
    const { service } = this.#request;
    const { metrics, desk, plain, logger } = this.#parts;
    metrics.countAttempt(service.name, outcome);
    const firstTokenMs = firstByteAt === undefined ? undefined : firstByteAt - sentAt;
    if (outcome !== 'served') {
      logger.info(
        {
          request: this.#request.id,
          endpoint: endpoint.id,
          address: endpoint.address,
          outcome,
          detail,
          afterMs: Math.round(now - sentAt),
          try: this.#offers,
        },
        'try ended',
      );
    }
    if (ticketId === undefined) {
      const sign = { served: 'served', failed: 'failed', unreachable: 'unreachable' } as const;
      const known = outcome in sign ? sign[outcome as keyof typeof sign] : undefined;
      plain.end(endpoint, known, now - sentAt, now);
      return;
    }
    const measured = outcome === 'served' && firstTokenMs !== undefined;
    desk.ended(ticketId, {
      outcome,
      ...(measured && {
        firstTokenMs,
        decodeMs: now - sentAt - firstTokenMs,
        outputTokens: Math.max(0, events - 1) * (service.engine?.tokensPerEvent ?? 1),
      }),
    });
  }

  #mayRepeat(): boolean {
    const { route } = this.#request;
    const isRepeatable = route.kind === 'safe' || (route.kind === 'stream' && route.resumable);
    return isRepeatable && this.#runs < route.maximumAttempts && this.#endsAt > this.#now();
  }

  /** Tries another endpoint where that is allowed, or gives the final answer. */
  #offerAgain(end: TryEnd, arrived: boolean): void {
    if (this.#done) return;
    const { service } = this.#request;
    const last = this.#try?.endpoint.id;
    if (last !== undefined) this.#avoid.push(last);
    const mayTry = end._tag === 'notRun' ? !this.#begun || this.#mayRepeat() : this.#mayRepeat();
    const hasOffers = this.#offers < MAXIMUM_OFFERS;
    const now = this.#now();
    const granted =
      mayTry &&
      hasOffers &&
      (!arrived || this.#parts.budget.tryRepeat(service.name, this.#parts.members(), now));
    if (granted) {
      this.#offer();
      return;
    }
    if (this.#begun) this.#endBroken(end.detail);
    else if (this.#runs > 0) this.#fail(STATUS.badGateway, end.detail);
    else this.#refuse(STATUS.unavailable, end.detail, NO_ENDPOINT_RETRY_MS);
  }

  #onTimeout(): void {
    if (this.#done) return;
    const wasWritten = this.#try !== undefined && !this.#try.over && this.#try.written;
    this.#abortTry('cancelled');
    if (this.#begun) this.#endBroken('time is over');
    else if (wasWritten || this.#runs > 0) this.#fail(STATUS.gatewayTimeout, 'time is over');
    else this.#refuse(STATUS.unavailable, 'time is over', NO_ENDPOINT_RETRY_MS);
  }

  #onCallerGone(): void {
    if (this.#done) return;
    this.#abortTry('cancelled');
    this.#finish('callerLeft', 0, '', () => {});
  }

  #abortTry(outcome: PlacementResult['outcome']): void {
    if (this.#ticketId !== undefined) this.#parts.desk.withdraw(this.#ticketId);
    this.#ticketId = undefined;
    const current = this.#try;
    if (current === undefined || current.over) return;
    current.exchange?.abort();
    this.#endTry(current, outcome, 'given up');
  }

  /** Ends with the promise that the request has not run and will not. */
  #refuse(status: number, reason: string, retryAfterMs: number): void {
    if (this.#begun || this.#runs > 0) {
      if (this.#begun) this.#endBroken(reason);
      else this.#fail(STATUS.badGateway, reason);
      return;
    }
    const header = this.#parts.wire.retryAfterHeader(retryAfterMs);
    this.#finish('refused', status, reason, () => this.#answer.send(status, header, EMPTY));
  }

  /** Ends with a failure that promises nothing. */
  #fail(status: number, reason: string): void {
    this.#finish('failed', status, reason, () => this.#answer.send(status, [], EMPTY));
  }

  /** Ends an answer that was begun in a way that can't be taken for its end. */
  #endBroken(reason: string): void {
    this.#finish('brokenOff', 0, reason, () => this.#answer.abort());
  }

  #finish(outcome: string, status: number, reason: string, tell: () => void): void {
    if (this.#done) return;
    this.#done = true;
    clearTimeout(this.#timer);
    tell();
    const { id, route, account, service, inbound, configurationVersion, fields } = this.#request;
    const { metrics, logger, onDone } = this.#parts;
    metrics.countEnded(route.name, outcome, status);
    if (outcome === 'served') metrics.recordFirstByte(route.name, this.#firstByteMs);
    logger.info(
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
        firstByteMs: Math.round(this.#firstByteMs),
        totalMs: Math.round(this.#now() - inbound.arrivedAt),
        configurationVersion,
      },
      'request ended',
    );
    onDone(this);
  }
}
