import type { AnswerFields } from '../../protocol/gateway/index.ts';
import type { PlacementResult } from '../../protocol/peer/Placement.ts';
import type { EndpointRecord } from '../../state/gateway/index.ts';
import { EventCounter, EventCutter } from '../../transport/gateway/index.ts';
import { exchange, type Exchange, type ExchangeEvent } from '../../transport/http/index.ts';
import type { GatewayParts } from './GatewayParts.ts';
import type { RoutedRequest } from './RoutedRequest.ts';

/** What a try at an endpoint reports, in order; one of the last four ends it. */
export type TryReport =
  /** Bytes of a successful stream; where the stream can be resumed, whole events only. */
  | { readonly _tag: 'streamed'; readonly bytes: Uint8Array; readonly lastEventId?: string }
  | { readonly _tag: 'streamEnded' }
  | { readonly _tag: 'answered'; readonly body: Uint8Array }
  /** The request surely didn't run; `arrived` tells whether it reached the endpoint. */
  | { readonly _tag: 'notRun'; readonly arrived: boolean; readonly detail: string }
  /** It may have run, and no whole answer came. */
  | { readonly _tag: 'broken'; readonly detail: string };

/** What a try is made of. */
export interface EndpointTryOptions {
  readonly parts: GatewayParts;
  readonly request: RoutedRequest;
  readonly endpoint: EndpointRecord;
  /** The slot that it uses, where its service has model engines. */
  readonly ticketId: string | undefined;
  readonly remainingMs: number;
  readonly lastEventId: string | undefined;
  readonly onReport: (report: TryReport) => void;
}

/** Most bytes of an answer that is kept until it is whole. */
const MAXIMUM_WHOLE_BYTES = 8 * 1024 * 1024;
const FIRST_SERVER_ERROR = 500;

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** One request sent to one endpoint: checks that the answer is its own and whole, and frees its slot. */
export class EndpointTry {
  readonly #options: EndpointTryOptions;

  readonly #sentAt: number;

  readonly #body: Uint8Array[] = [];

  readonly #cutter = new EventCutter();

  readonly #counter = new EventCounter();

  #size = 0;

  #exchange: Exchange | undefined;

  #answer: AnswerFields | undefined;

  #firstByteAt: number | undefined;

  #over = false;

  /** Whether the request may have reached the endpoint. */
  written = false;

  status = 0;

  headerLines: readonly string[] = [];

  constructor(options: EndpointTryOptions) {
    this.#options = options;
    this.#sentAt = options.parts.now();
  }

  get endpoint(): EndpointRecord {
    return this.#options.endpoint;
  }

  get ended(): boolean {
    return this.#over;
  }

  /** Sends the request. */
  start(): void {
    const { parts, request, endpoint, ticketId, remainingMs, lastEventId } = this.#options;
    if (ticketId === undefined) parts.plain.begin(endpoint);
    const { inbound, account } = request;
    this.#exchange = exchange(
      parts.endpointPool,
      {
        address: `http://${endpoint.address}`,
        method: inbound.method,
        path: inbound.target,
        headers: {},
        headerLines: parts.wire.forwardHeaders(inbound.headerLines, {
          remainingMs,
          endpointId: endpoint.id,
          account: account?.name,
          lastEventId,
        }),
        body: inbound.body,
        fresh: false,
        silenceMs: undefined,
      },
      (event) => this.#onExchange(event),
    );
  }

  /** Gives the try up; nothing is reported after it. */
  cancel(): void {
    if (this.#over) return;
    this.#exchange?.abort();
    this.#end('cancelled', 'given up');
  }

  /** Stops reading the answer until `resume`. */
  pause(): void {
    this.#exchange?.pause();
  }

  resume(): void {
    this.#exchange?.resume();
  }

  #onExchange(event: ExchangeEvent): void {
    if (this.#over) return;
    switch (event._tag) {
      case 'written':
        this.written = true;
        return;
      case 'refused':
        this.#end('unreachable', event.detail);
        this.#report({ _tag: 'notRun', arrived: false, detail: event.detail });
        return;
      case 'head':
        this.#onHead(event.status, event.headerLines);
        return;
      case 'data':
        this.#onData(event.bytes);
        return;
      case 'ended':
        this.#onEnded();
        return;
      case 'broken':
        this.#break(event.detail);
        return;
      default:
        event satisfies never;
    }
  }

  #onHead(status: number, headerLines: readonly string[]): void {
    const { parts, request } = this.#options;
    const answer = parts.wire.readAnswer(status, headerLines);
    this.status = status;
    this.headerLines = headerLines;
    this.#answer = answer;
    const isOurs = answer.id === request.id || (answer.id === undefined && answer.isNotRun);
    if (isOurs && (answer.signed || answer.isNotRun) && !answer.encoded) return;
    // An answer to another request, or not an endpoint's answer at all.
    this.#break(`answer is not for this request (status ${status})`);
  }

  #onData(bytes: Buffer): void {
    if (this.#firstByteAt === undefined) this.#onFirstByte();
    if (this.#isStream()) {
      this.#onStreamed(bytes);
      return;
    }
    this.#size += bytes.length;
    if (this.#size > MAXIMUM_WHOLE_BYTES) this.#break('answer is too long');
    else this.#body.push(bytes);
  }

  #onFirstByte(): void {
    const { parts, ticketId } = this.#options;
    this.#firstByteAt = parts.now();
    if (ticketId !== undefined && this.#isStream())
      parts.desk.reportFirstToken(ticketId, this.#firstByteAt - this.#sentAt);
  }

  #onStreamed(bytes: Buffer): void {
    this.#counter.push(bytes);
    if (!this.#options.request.route.resumable) {
      this.#report({ _tag: 'streamed', bytes });
      return;
    }
    const { bytes: whole, lastId } = this.#cutter.push(bytes);
    if (whole.length === 0) return;
    this.#report({
      _tag: 'streamed',
      bytes: whole,
      ...(lastId !== undefined && { lastEventId: lastId }),
    });
  }

  #onEnded(): void {
    const { status } = this;
    if (this.#answer?.isNotRun && !this.#answer.signed) {
      this.#end('turnedAway', `status ${status}`);
      this.#report({ _tag: 'notRun', arrived: true, detail: `turned away with ${status}` });
      return;
    }
    if (this.#isStream()) {
      const rest = this.#cutter.rest();
      if (rest.length > 0) this.#report({ _tag: 'streamed', bytes: rest });
      this.#end('served', '');
      this.#report({ _tag: 'streamEnded' });
      return;
    }
    const failed = status >= FIRST_SERVER_ERROR;
    this.#end(failed ? 'failed' : 'served', `status ${status}`);
    this.#report({ _tag: 'answered', body: Buffer.concat(this.#body) });
  }

  #break(detail: string): void {
    this.#exchange?.abort();
    this.#end('failed', detail);
    this.#report({ _tag: 'broken', detail });
  }

  #report(report: TryReport): void {
    this.#options.onReport(report);
  }

  #isStream(): boolean {
    return this.#options.request.route.kind === 'stream' && isSuccess(this.status);
  }

  /** Frees what the try held, and tells what it showed of its endpoint. */
  #end(outcome: PlacementResult['outcome'], detail: string): void {
    this.#over = true;
    const { parts, request, endpoint, ticketId } = this.#options;
    const now = parts.now();
    const totalMs = now - this.#sentAt;
    parts.metrics.countAttempt(request.service.name, outcome);
    if (outcome !== 'served') {
      parts.logger.info(
        {
          request: request.id,
          ticket: ticketId,
          endpoint: endpoint.id,
          address: endpoint.address,
          outcome,
          detail,
          afterMs: Math.round(totalMs),
        },
        'try ended',
      );
    }
    if (ticketId === undefined) parts.plain.recordEnd(endpoint, outcome, totalMs, now);
    else parts.desk.releaseSlot(ticketId, { outcome, ...this.#measured(outcome, now) });
  }

  #measured(
    outcome: PlacementResult['outcome'],
    now: number,
  ): Pick<PlacementResult, 'decodeMs' | 'outputTokens'> {
    const firstByteAt = this.#firstByteAt;
    if (outcome !== 'served' || firstByteAt === undefined) return {};
    const tokensPerEvent = this.#options.request.service.engine?.tokensPerEvent ?? 1;
    return {
      decodeMs: now - firstByteAt,
      outputTokens: Math.max(0, this.#counter.count - 1) * tokensPerEvent,
    };
  }
}
