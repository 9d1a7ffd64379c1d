import type { DecodedResponseHeaders } from '../../../protocol/gateway/index.ts';
import { limitPromptParts, type PlacementResult } from '../../../protocol/peer/GatewayMessages.ts';
import { endpointStartOf, type EndpointRecord } from '../../../state/gateway/index.ts';
import {
  exchange,
  type EndConfirmation,
  type AnswerFraming,
  type ConnectionUse,
  type Exchange,
  type ExchangeEvent,
} from '../../../transport/http/index.ts';
import { AnswerReader, type ReadOutcome } from './AnswerReader.ts';
import type { AttemptEnd } from '../rollouts/RolloutMonitor.ts';
import type { CrashFinding } from '../crashes/CrashDetector.ts';
import type { GatewayContext } from '../GatewayContext.ts';
import { logFailedAttempt } from './logFailedAttempt.ts';
import type { AttemptEvent, AttemptWriting, RequestAttempt } from './RequestAttempt.ts';
import type { RoutedRequest } from './RoutedRequest.ts';
import { makeEndConfirmation } from './makeEndConfirmation.ts';
import { stallLimitMs, StallTimer } from './StallTimer.ts';
import type { ViewAge } from '../following/StoreSubscription.ts';

/** Request, endpoint and time limit of an attempt. */
export interface EndpointAttemptOptions {
  readonly context: GatewayContext;
  readonly request: RoutedRequest;
  readonly endpoint: EndpointRecord;
  /** Ticket that holds the slot; undefined for an endpoint that needs none. */
  readonly ticketId: string | undefined;
  /** Time until the deadline of the request. */
  readonly remainingMs: number;
  /** Id of the last event that the caller has, from which the endpoint resumes the stream. */
  readonly lastEventId: string | undefined;
  readonly onEvent: (event: AttemptEvent) => void;
}

const FIRST_CLIENT_ERROR = 400;
const FIRST_SERVER_ERROR = 500;
/** A prompt that crashes its engine does so within this time after the first byte of the answer. */
const CRASH_ONSET_MS = 600;

/** Longest body of a rejection for which its connection is kept, and time for it to arrive. */
const MAXIMUM_REFUSAL_BYTES = 65_536;
const REFUSAL_BODY_MS = 1_000;

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/**
 * Sends one request to one endpoint, verifies that the answer belongs to the request and is complete,
 * and releases the slot.
 */
export class EndpointAttempt implements RequestAttempt {
  readonly kind = 'endpoint';

  readonly #options: EndpointAttemptOptions;

  readonly #sentAt: number;

  readonly #reader: AnswerReader;

  readonly #stallTimer: StallTimer;

  readonly #endConfirmation: EndConfirmation;

  #exchange: Exchange | undefined;

  #answerFields: DecodedResponseHeaders | undefined;

  #firstByteAt: number | undefined;

  /** What the connection had carried before the request; undefined until it is written. */
  #connection: ConnectionUse | undefined;

  #ended = false;

  /** Whether the permission to send had expired when there was a connection. */
  #isWithheld = false;

  #isConnectionLost = false;

  /** Bytes that have arrived after the attempt had ended. */
  #unreadBytes = 0;

  /** How old the view of the store was by which the request was sent. */
  readonly viewAge: ViewAge;

  writing: AttemptWriting | undefined;

  written = false;

  heardAt: number;

  status = 0;

  headerLines: readonly string[] = [];

  framing: AnswerFraming | undefined;

  constructor(options: EndpointAttemptOptions) {
    this.#options = options;
    this.#sentAt = options.context.now();
    this.heardAt = this.#sentAt;
    const limitMs = stallLimitMs(options.request.route);
    this.#stallTimer = new StallTimer(limitMs, () => this.#fail(`no event for ${limitMs} ms`));
    const { context, request, endpoint } = options;
    this.#endConfirmation = makeEndConfirmation(context, request, endpoint);
    this.#reader = new AnswerReader(options.context.answerMemory, options.endpoint.id, () =>
      this.#fail('the answers of the endpoint hold too much memory'),
    );
    this.viewAge = options.context.viewAge(this.#sentAt);
    options.context.metrics.recordViewAge(this.viewAge.ageMs);
  }

  get target(): string {
    return this.endpoint.id;
  }

  /** The endpoint that the request is sent to. */
  get endpoint(): EndpointRecord {
    return this.#options.endpoint;
  }

  get ended(): boolean {
    return this.#ended;
  }

  get streamProgress(): { readonly events: number; readonly unfinishedBytes: number } {
    return this.#reader.progress;
  }

  start(): void {
    const { context, request, endpoint, remainingMs, lastEventId } = this.#options;
    if (request.service.engine === undefined) context.plainEndpoints.recordStart(endpoint);
    context.rollouts.recordStart(endpoint);
    const { inbound, account } = request;
    this.#exchange = exchange(
      context.endpointPool,
      {
        address: `http://${endpoint.address}`,
        id: request.id,
        method: inbound.method,
        path: inbound.target,
        headers: {},
        headerLines: context.wire.buildForwardHeaders(inbound.headerLines, {
          remainingMs,
          endpointId: endpoint.id,
          account: account?.name,
          lastEventId,
        }),
        body: inbound.body,
        fresh: false,
        silenceMs: undefined,
        mayWrite: () => this.#mayWrite(),
      },
      (event) => this.#onExchange(event),
    );
  }

  cancel(): void {
    if (this.#ended) return;
    this.#exchange?.abort();
    this.#end('cancelled', 'given up');
  }

  pause(): void {
    this.#stallTimer.stop();
    this.#endConfirmation.pause();
    this.#exchange?.pause();
  }

  resume(): void {
    if (!this.#ended && this.#isStream()) this.#stallTimer.restart();
    this.#exchange?.resume();
  }

  #onExchange(event: ExchangeEvent): void {
    if (this.#ended) {
      if (event._tag === 'data') this.#readOn(event.bytes);
      return;
    }
    this.#endConfirmation.observe(event);
    switch (event._tag) {
      case 'written':
        this.written = true;
        this.#connection = event.connection;
        this.writing = this.#describeWriting();
        return;
      case 'refused':
        this.#isWithheld ||= event.exhausted === true;
        if (event.forbidden) this.#onForbidden(event.detail);
        else this.#onUnreachable(event.detail);
        return;
      case 'head':
        this.#hear();
        this.framing = event.framing;
        this.#reader.expect(event.headers['content-length']);
        this.#onHead(event.status, event.headerLines);
        return;
      case 'data':
        this.#hear();
        this.#onData(event.bytes);
        return;
      case 'ended':
        this.#onEnded();
        return;
      case 'broken':
        this.#onConnectionLost(event.detail);
        return;
      default:
        event satisfies never;
    }
  }

  #describeWriting(): AttemptWriting {
    const { now, directory } = this.#options.context;
    const { id } = this.endpoint;
    const listed = directory.isMissing(id) ? 'missing' : 'listed';
    const listing = directory.findReady(id) === undefined ? 'gone' : listed;
    return { afterMs: now() - this.#sentAt, listing };
  }

  /** What was decided before a pause holds no longer, so that the request is placed anew. */
  #onForbidden(detail: string): void {
    if (this.#isWithheld) {
      this.#onUnreachable(detail);
      return;
    }
    this.#end('unused', 'the process was paused');
    this.#emit({ _tag: 'notSent' });
  }

  /** Checks again what permitted the request, because the process may have been paused while it connected. */
  #mayWrite(): boolean {
    const { context } = this.#options;
    if (!context.pauses.check()) return false;
    this.#isWithheld = !context.maySend(this.endpoint, this.#sentAt);
    return !this.#isWithheld;
  }

  #hear(): void {
    const { now, reach } = this.#options.context;
    this.heardAt = now();
    reach.recordBytes();
  }

  /** The endpoint isn't blamed if this gateway reaches no other one either. */
  #onUnreachable(detail: string): void {
    if (this.#isWithheld) {
      this.#end('unused', detail);
      this.#emit({ _tag: 'notRun', arrived: false, detail });
      return;
    }
    this.#options.context.reach.check(this.endpoint.id, (verdict) => {
      if (this.#ended) return;
      this.#end(verdict === 'isolated' ? 'unused' : 'unreachable', detail);
      this.#emit({ _tag: 'notRun', arrived: false, detail });
    });
  }

  #onHead(status: number, headerLines: readonly string[]): void {
    const { context, request } = this.#options;
    const answer = context.wire.readResponseHeaders(status, headerLines);
    this.status = status;
    this.headerLines = headerLines;
    this.#answerFields = answer;
    // A second copy of an answer without an id would be taken for the answer to the next request.
    if (answer.id === undefined) this.#exchange?.discardConnection();
    const isOwn = answer.id === request.id || this.#isOwnWithoutId(answer);
    if (isOwn && (answer.isSigned || answer.isNotRun) && !answer.isEncoded) {
      this.#recordStatements(answer);
      if (answer.isNotRun && !answer.isSigned) {
        this.#onTurnedAway();
        return;
      }
      if (this.#isStream()) this.#stallTimer.restart();
      return;
    }
    // The answer belongs to another request, was not written by an endpoint, or has a content encoding
    // although the gateway accepts none.
    this.#fail(`answer does not belong to this request (status ${status})`);
  }

  /** Whether an answer that names no request can only be about this one: a refusal on a connection that carried no other. */
  #isOwnWithoutId({ id, isNotRun }: DecodedResponseHeaders): boolean {
    return id === undefined && isNotRun && this.#connection?.earlierRequests === 0;
  }

  /** The head says that the request has not run, whatever follows. The rest is read so that the connection can be used again. */
  #onTurnedAway(): void {
    const { status } = this;
    setTimeout(() => this.#exchange?.abort(), REFUSAL_BODY_MS).unref();
    this.#end('turnedAway', `status ${status}`);
    const detail = `endpoint rejected the request with status ${status}`;
    this.#emit({ _tag: 'notRun', arrived: true, detail });
  }

  #readOn(bytes: Uint8Array): void {
    this.#unreadBytes += bytes.length;
    if (this.#unreadBytes > MAXIMUM_REFUSAL_BYTES) this.#exchange?.abort();
  }

  #recordStatements({ isSigned, statements }: DecodedResponseHeaders): void {
    const { limits, exclusions } = this.#options.context;
    exclusions.observe(this.endpoint, statements);
    // A rejection without a statement doesn't end one: something else may have written it.
    if (isSigned || statements.length > 0)
      limits.observe(this.endpoint, statements, isSigned, this.#sentAt);
  }

  #onData(bytes: Buffer): void {
    if (this.#firstByteAt === undefined) this.#onFirstByte();
    const { eventCount } = this.#reader;
    const outcome = this.#isStream()
      ? this.#reader.readStream(bytes)
      : this.#reader.readBody(bytes);
    // The answer may have had to yield its memory.
    if (this.#ended) return;
    if (this.#reader.eventCount > eventCount) this.#stallTimer.restart();
    this.#apply(outcome);
  }

  #apply(outcome: ReadOutcome): void {
    switch (outcome._tag) {
      case 'event':
        this.#emit(outcome.event);
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

  #onFirstByte(): void {
    const { context, ticketId } = this.#options;
    this.#firstByteAt = context.now();
    if (ticketId !== undefined && this.#isStream())
      context.placements.reportFirstToken(ticketId, this.#firstByteAt - this.#sentAt);
  }

  #onEnded(): void {
    const { status } = this;
    this.#stallTimer.stop();
    if (this.#isStream()) {
      this.#onStreamEnded();
      return;
    }
    this.#confirmEnd(() => {
      this.#recordAnswer();
      this.#end(status >= FIRST_SERVER_ERROR ? 'failed' : 'served', `status ${status}`);
      this.#emit({ _tag: 'answered', body: this.#reader.body() });
    });
  }

  #onStreamEnded(): void {
    const outcome = this.#reader.endStream(this.framing);
    if (outcome._tag === 'unusable') {
      this.#onConnectionLost(outcome.detail);
      return;
    }
    this.#apply(outcome);
    this.#confirmEnd(() => {
      this.#recordAnswer();
      this.#end('served', '');
      this.#emit({ _tag: 'streamEnded' });
    });
  }

  /**
   * Completes an answer. The end of its connection alone is also what the end of the endpoint's process looks like, so
   * an answer without another mark is complete only if the same process still runs.
   */
  #confirmEnd(onComplete: () => void): void {
    this.#endConfirmation.confirm((reason) => {
      if (this.#ended) return;
      if (reason === undefined) onComplete();
      else this.#onConnectionLost(`the answer has no end mark, and ${reason}`);
    });
  }

  /**
   * Fails the attempt; its endpoint may have crashed. Only a run that had just begun to answer may have
   * crashed it by a part of its prompt.
   */
  #onConnectionLost(detail: string): void {
    const { context, request, endpoint, ticketId } = this.#options;
    const answeringMs = context.now() - (this.#firstByteAt ?? context.now());
    const hasJustBegun = answeringMs <= CRASH_ONSET_MS;
    this.#isConnectionLost = true;
    this.#exchange?.abort();
    this.#logEnd('failed', detail);
    this.#emit({ _tag: 'broken', detail, connectionLost: true });
    const start = endpointStartOf(endpoint);
    const run = {
      id: ticketId ?? `${request.id} ${start}`,
      service: endpoint.service,
      endpointId: endpoint.id,
      endpoint: start,
      address: endpoint.address,
      parts: hasJustBegun ? limitPromptParts(request.fields.sharedPromptParts) : [],
      fingerprint: request.fingerprint(),
    };
    context.crashDetector.observeBrokenRun(run, (finding) => this.#releaseAfterCheck(finding));
  }

  /** A gateway that has lost all its connections has no evidence about the endpoint. */
  #releaseAfterCheck(finding: CrashFinding): void {
    this.#release(finding === 'isolated' ? 'cancelled' : 'failed');
  }

  #fail(detail: string): void {
    this.#exchange?.abort();
    this.#end('failed', detail);
    this.#emit({ _tag: 'broken', detail, connectionLost: false });
  }

  /** A whole answer shows that neither the request nor others have crashed the endpoint. */
  #recordAnswer(): void {
    const { context, request, endpoint } = this.#options;
    context.crashes.recordAnswer(endpoint.service, endpointStartOf(endpoint), request.fingerprint);
  }

  #emit(event: AttemptEvent): void {
    this.#options.onEvent(event);
  }

  #isStream(): boolean {
    return this.#options.request.route.kind === 'stream' && isSuccess(this.status);
  }

  #end(outcome: PlacementResult['outcome'], detail: string): void {
    this.#logEnd(outcome, detail);
    this.#release(outcome);
  }

  /** Marks the attempt as ended, for metrics and the log. */
  #logEnd(outcome: PlacementResult['outcome'], detail: string): void {
    this.#ended = true;
    this.#stallTimer.stop();
    this.#endConfirmation.close();
    this.#reader.release();
    const { context, request, endpoint, ticketId } = this.#options;
    context.metrics.countAttempt(request.service.name, outcome);
    if (outcome === 'served') return;
    const { status, framing, streamProgress } = this;
    logFailedAttempt(context.logger, request, endpoint, {
      ticket: ticketId,
      outcome,
      detail,
      status,
      answerId: this.#answerFields?.id,
      connection: this.#connection,
      framing,
      retryAfterMs: this.#answerFields?.retryAfterMs,
      ...streamProgress,
      afterMs: Math.round(context.now() - this.#sentAt),
    });
  }

  /** Releases the slot, and reports the outcome for load balancing. */
  #release(outcome: PlacementResult['outcome']): void {
    const { context, request, endpoint, ticketId } = this.#options;
    const now = context.now();
    if (request.service.engine === undefined)
      context.plainEndpoints.recordEnd(endpoint, outcome, now - this.#sentAt, now);
    context.rollouts.recordEnd({
      record: endpoint,
      route: request.route.name,
      outcome: this.#evidenceOf(outcome),
      totalMs: now - this.#sentAt,
      promptTokens: request.fields.promptTokens,
      outputTokens: this.#reader.eventCount * (request.service.engine?.tokensPerEvent ?? 1),
    });
    if (ticketId !== undefined)
      context.placements.releaseSlot(ticketId, { outcome, ...this.#measureDecoding(outcome, now) });
  }

  /** Returns the evidence that the outcome gives about the endpoint's version. */
  #evidenceOf(outcome: PlacementResult['outcome']): AttemptEnd['outcome'] {
    if (outcome === 'served') return this.status < FIRST_CLIENT_ERROR ? 'served' : 'other';
    if (outcome === 'failed') return this.#isConnectionLost ? 'broken' : 'failed';
    return outcome === 'cancelled' && !this.#isConnectionLost ? 'cancelled' : 'other';
  }

  #measureDecoding(
    outcome: PlacementResult['outcome'],
    now: number,
  ): Pick<PlacementResult, 'decodeMs' | 'outputTokens'> {
    const firstByteAt = this.#firstByteAt;
    if (outcome !== 'served' || firstByteAt === undefined) return {};
    const tokensPerEvent = this.#options.request.service.engine?.tokensPerEvent ?? 1;
    return {
      decodeMs: now - firstByteAt,
      // The time starts at the first event, so that the tokens of this event are not counted.
      outputTokens: Math.max(0, this.#reader.eventCount - 1) * tokensPerEvent,
    };
  }
}
