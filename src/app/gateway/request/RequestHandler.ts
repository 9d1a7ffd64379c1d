import { SILENCE_MS } from '../../../coordination/gateway/index.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import type { Member } from '../../../state/Member.ts';
import type { InboundAnswer } from '../../../transport/gateway/index.ts';
import { CallerAnswer } from './CallerAnswer.ts';
import type { GatewayContext } from '../GatewayContext.ts';
import { recordRequestEnd, type RequestOutcome } from './recordRequestEnd.ts';
import { deadlineOf } from './deadlineOf.ts';
import { makeEndpointAttempt } from './makeEndpointAttempt.ts';
import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { PlacementAnswer } from '../placement/LocalTickets.ts';
import { STATUS_DECLINED } from '../reach/PeerAttempt.ts';
import type { AttemptEvent, RequestAttempt } from './RequestAttempt.ts';
import { RequestEndpoints } from './RequestEndpoints.ts';
import { RequestForwarding } from '../reach/RequestForwarding.ts';
import { RequestQuarantine } from '../crashes/RequestQuarantine.ts';
import { RequestRetries } from './RequestRetries.ts';
import type { RoutedRequest } from './RoutedRequest.ts';

const STATUS = { unavailable: 503, tooMany: 429, badGateway: 502, gatewayTimeout: 504 } as const;
const FIRST_SERVER_ERROR = 500;
/** Placements of one request before its caller is told to retry. */
const MAXIMUM_PLACEMENTS = 4;
/** `Retry-After` for callers whose request found no endpoint. */
const NO_ENDPOINT_RETRY_AFTER_MS = 400;
/** Time over which requests are spread that waited for the same rest. */
const AFTER_REST_SPREAD_MS = 300;

/** Handles one routed request: selects endpoints, retries where that is safe, and sends the final answer. */
export class RequestHandler {
  readonly #context: GatewayContext;

  readonly #request: RoutedRequest;

  readonly #answer: CallerAnswer;

  readonly #deadlineAt: number;

  readonly #endpoints: RequestEndpoints;

  readonly #forwarding: RequestForwarding;

  readonly #quarantine: RequestQuarantine;

  #attempt: RequestAttempt | undefined;

  #ticketId: string | undefined;

  #placementCount = 0;

  readonly #retries: RequestRetries;

  /** Whether a ticket of the request is known to have been charged to its quota; one that isn't is charged again. */
  #isCharged: boolean;

  #lastEventId: string | undefined;

  #done = false;

  #deadlineTimer: NodeJS.Timeout | undefined;

  /** Runs while the request waits for an endpoint at rest. */
  #restTimer: NodeJS.Timeout | undefined;

  constructor(context: GatewayContext, request: RoutedRequest, answer: InboundAnswer) {
    this.#context = context;
    this.#request = request;
    this.#answer = new CallerAnswer(context.wire, answer);
    answer.onClosed(() => this.#onCallerLeft());
    answer.onDrain(() => this.#attempt?.resume());
    this.#forwarding = new RequestForwarding(context, request);
    this.#quarantine = new RequestQuarantine(context.crashes, request);
    this.#endpoints = new RequestEndpoints(context, request);
    this.#isCharged = request.forwarded?.isCharged ?? false;
    this.#lastEventId = (request.forwarded ?? request.fields).lastEventId;
    this.#deadlineAt = deadlineOf(request);
    this.#retries = new RequestRetries(context, request, this.#deadlineAt);
  }

  /** Starts the deadline timer and the first placement. Call it once. */
  start(): void {
    const now = this.#context.now();
    this.#deadlineTimer = setTimeout(() => this.#onDeadline(), Math.max(0, this.#deadlineAt - now));
    this.#place();
  }

  /**
   * Returns the endpoint that has kept this request waiting in silence.
   *
   * @param now - present time in ms, monotonic
   * @returns the endpoint's id, or undefined if the request doesn't wait for one
   */
  silentEndpoint(now: number): string | undefined {
    const attempt = this.#attempt;
    if (attempt?.kind !== 'endpoint' || attempt.ended || !attempt.written) return undefined;
    return now - attempt.heardAt > SILENCE_MS ? attempt.target : undefined;
  }

  /**
   * Moves the request to a peer if this gateway has ceased to reach endpoints, or if the peer that has it is
   * gone. Call it periodically meanwhile.
   *
   * @param now - present time in ms, monotonic
   */
  review(now: number): void {
    if (this.#done) return;
    const attempt = this.#attempt;
    if (this.#ticketId !== undefined) {
      if (this.#forwarding.findPeer() === undefined) return;
      this.#cancel();
      this.#place();
      return;
    }
    if (attempt === undefined || attempt.ended) return;
    if (attempt.kind === 'peer') {
      if (this.#context.forwarder.isAlive(attempt.target)) return;
      attempt.cancel();
      this.#onBroken(attempt, { detail: 'the peer is gone', connectionLost: false });
      return;
    }
    if (this.#forwarding.findPeer() !== undefined) this.#reviewEndpointAttempt(attempt, now);
  }

  /** An attempt that hangs is given up if the request may be executed again. */
  #reviewEndpointAttempt(attempt: RequestAttempt, now: number): void {
    if (attempt.written) {
      const mayRepeat = this.#retries.mayRepeat(this.#retries.executions + 1);
      if (now - attempt.heardAt <= SILENCE_MS || !mayRepeat || !this.#retries.tryCharge()) return;
      this.#retries.executions += 1;
    }
    attempt.cancel();
    this.#place();
  }

  /** Ends the request because the process is stopping. */
  abort(): void {
    if (!this.#done) this.#abandon(STATUS.badGateway, 'the gateway is stopping');
  }

  #forward(peer: Member): void {
    const attempt = this.#forwarding.makeAttempt(
      peer,
      {
        remainingMs: this.#deadlineAt - this.#context.now(),
        executions: this.#retries.executions,
        avoid: this.#endpoints.avoided,
        isCharged: this.#isCharged,
        isCounted: this.#retries.isCounted,
        answerBegun: this.#answer.begun,
        lastEventId: this.#lastEventId,
      },
      (event) => this.#onAttemptEvent(attempt, event),
    );
    this.#retries.isCounted = true;
    this.#attempt = attempt;
    attempt.start();
  }

  /**
   * Selects an endpoint: by a placement ticket for model engines and endpoints that state a limit, otherwise
   * directly. A gateway that reaches no endpoint forwards the request to a peer that does.
   */
  #place(): void {
    if (this.#done || this.#context.pauses.hold(() => this.#place())) return;
    this.#placementCount += 1;
    const peer = this.#forwarding.findPeer();
    if (peer !== undefined) {
      this.#forward(peer);
      return;
    }
    this.#retries.countRequest();
    if (this.#request.service.engine !== undefined) this.#requestSlot(false);
    else if (this.#quarantine.fingerprint.length > 0) this.#placeQuarantined();
    else this.#placeAtPlainEndpoint();
  }

  /** Refuses a request that crashes endpoints, or asks the scheduler to admit it as a trial. */
  #placeQuarantined(): void {
    const remainingMs = this.#quarantine.remainingMs();
    if (remainingMs === undefined) this.#requestSlot(true);
    else this.#endUnserved('quarantined', remainingMs);
  }

  #placeAtPlainEndpoint(): void {
    const selection = this.#endpoints.selectPlain();
    switch (selection._tag) {
      case 'direct':
        this.#send(selection.endpoint, undefined);
        return;
      case 'scheduled':
        this.#requestSlot(selection.immediate);
        return;
      case 'none':
        this.#waitForRest();
        return;
      default:
        selection satisfies never;
    }
  }

  /** Waits until an endpoint of the service has had the rest that it asked for, if the deadline allows it. */
  #waitForRest(): void {
    const { now, random } = this.#context;
    const restMs = this.#endpoints.msUntilRested();
    if (restMs === undefined) {
      this.#endUnserved('no endpoint', NO_ENDPOINT_RETRY_AFTER_MS);
      return;
    }
    // Requests that waited for the same rest don't come at once.
    const waitMs = restMs + random() * AFTER_REST_SPREAD_MS;
    if (now() + waitMs >= this.#deadlineAt) this.#endUnserved('endpoints at rest', waitMs);
    else this.#restTimer = setTimeout(() => this.#place(), waitMs);
  }

  #requestSlot(immediate: boolean): void {
    const ticket = this.#makeTicket(immediate);
    this.#ticketId = ticket.id;
    const { placements } = this.#context;
    placements.requestSlot(ticket, (answer) => this.#onPlacementAnswer(ticket, answer));
  }

  #makeTicket(immediate: boolean, alsoAvoided: readonly EndpointRecord[] = []): PlacementTicket {
    const progress = {
      placementNumber: this.#placementCount,
      answerBegun: this.#hasBegun(),
      immediate,
      quarantined: this.#quarantine.fingerprint,
      isCharged: this.#isCharged,
    };
    return this.#endpoints.makeTicket(progress, alsoAvoided);
  }

  /** Whether the caller has a part of the answer. */
  #hasBegun(): boolean {
    return this.#answer.begun || this.#request.forwarded?.answerBegun === true;
  }

  #onPlacementAnswer(ticket: PlacementTicket, answer: PlacementAnswer): void {
    const ticketId = ticket.id;
    if (this.#done || this.#ticketId !== ticketId) return;
    this.#ticketId = undefined;
    if (answer._tag === 'refused') {
      if (answer.reason === 'noEndpoint' && this.#forwarding.findPeer() !== undefined) {
        this.#place();
        return;
      }
      const other = this.#endpoints.selectUnlimited(ticket, answer);
      if (other !== undefined) {
        this.#send(other, undefined);
        return;
      }
      const status = answer.reason === 'quota' ? STATUS.tooMany : STATUS.unavailable;
      this.#endUnserved(answer.reason, answer.retryAfterMs, status);
      return;
    }
    this.#isCharged = true;
    if (this.#forwarding.findPeer() !== undefined) {
      this.#context.placements.releaseSlot(ticketId, { outcome: 'unused' });
      this.#place();
      return;
    }
    if (this.#quarantine.isNewSince(ticket)) {
      this.#context.placements.releaseSlot(ticketId, { outcome: 'unused' });
      const waitMs = this.#quarantine.remainingMs() ?? NO_ENDPOINT_RETRY_AFTER_MS;
      this.#endUnserved('quarantined', waitMs);
      return;
    }
    const endpoint = this.#endpoints.findGranted(answer.endpoint);
    const isExcluded = endpoint && this.#context.exclusions.find(endpoint) !== undefined;
    if (endpoint !== undefined && !isExcluded) {
      this.#send(endpoint, ticketId);
      return;
    }
    // The scheduler has not learned yet that the endpoint is leaving, or wants rest from this gateway.
    this.#context.placements.releaseSlot(ticketId, { outcome: 'unused' });
    if (isExcluded) {
      this.#place();
      return;
    }
    this.#endpoints.avoided.push(answer.endpoint);
    this.#retryOrEnd('granted endpoint is leaving', { mayHaveRun: false, arrived: false });
  }

  #send(endpoint: EndpointRecord, ticketId: string | undefined): void {
    if (!this.#context.pauses.check()) {
      this.#context.placements.releaseSlot(ticketId ?? '', { outcome: 'unused' });
      this.#placeAnew();
      return;
    }
    const attempt = makeEndpointAttempt({
      context: this.#context,
      request: this.#request,
      endpoint,
      ticketId,
      remainingMs: this.#deadlineAt - this.#context.now(),
      lastEventId: this.#lastEventId,
      onEvent: (event) => this.#onAttemptEvent(attempt, event),
      retries: this.#retries,
      endpoints: this.#endpoints,
      isReplaceable: () => !this.#hasBegun() && !this.#quarantine.isSuspect,
      makeTicket: (avoided) => this.#makeTicket(true, [avoided]),
    });
    this.#attempt = attempt;
    attempt.start();
  }

  /** After a pause of the process, in which a charge may have left the window that it was made for. */
  #placeAnew(): void {
    this.#isCharged = false;
    this.#place();
  }

  #onAttemptEvent(attempt: RequestAttempt, event: AttemptEvent): void {
    if (this.#done || this.#attempt !== attempt) return;
    switch (event._tag) {
      case 'streamed':
        this.#passOn(attempt, event);
        return;
      case 'streamEnded':
        if (this.#beginAnswer(attempt))
          this.#finish('served', attempt.status, '', () => this.#answer.end());
        return;
      case 'answered':
        this.#onAnswered(attempt, event.body);
        return;
      case 'notRun':
        this.#avoid(attempt);
        this.#retryOrEnd(event.detail, { mayHaveRun: false, arrived: event.arrived });
        return;
      case 'notSent':
        this.#placeAnew();
        return;
      case 'broken':
        this.#onBroken(attempt, event);
        return;
      case 'unserved':
        this.#onUnserved(event);
        return;
      default:
        event satisfies never;
    }
  }

  /** Keeps further attempts from the endpoint of this one, unless a peer may reach it where this gateway doesn't. */
  #avoid({ kind, target }: RequestAttempt): void {
    if (kind === 'endpoint' && this.#forwarding.findPeer() === undefined)
      this.#endpoints.avoided.push(target);
  }

  #onBroken(
    attempt: RequestAttempt,
    { detail, connectionLost }: { readonly detail: string; readonly connectionLost: boolean },
  ): void {
    this.#retries.executions += 1;
    this.#avoid(attempt);
    if (connectionLost && this.#quarantine.isSuspect)
      this.#endUnserved(detail, NO_ENDPOINT_RETRY_AFTER_MS);
    else this.#retryOrEnd(detail, { mayHaveRun: true, arrived: true });
  }

  /** A peer has done for the request what the group can do. */
  #onUnserved({ mayHaveRun, status, retryAfterMs }: AttemptEvent & { _tag: 'unserved' }): void {
    const detail = `the peer answered with status ${status}`;
    if (mayHaveRun) {
      this.#retries.executions += 1;
      this.#endUnserved(detail, NO_ENDPOINT_RETRY_AFTER_MS, STATUS.unavailable, status);
    } else this.#endUnserved(detail, retryAfterMs, status);
  }

  #passOn(
    attempt: RequestAttempt,
    { bytes, lastEventId }: AttemptEvent & { _tag: 'streamed' },
  ): void {
    if (!this.#beginAnswer(attempt)) return;
    this.#lastEventId = lastEventId ?? this.#lastEventId;
    if (!this.#answer.write(bytes)) attempt.pause();
  }

  /** Begins the answer, or goes on with it; an endpoint that was to resume it may have answered with something else. */
  #beginAnswer(attempt: RequestAttempt): boolean {
    if (this.#answer.begin(attempt, this.#sinceArrivalMs())) return true;
    attempt.cancel();
    this.#onBroken(attempt, { detail: 'no continuation of the stream', connectionLost: false });
    return false;
  }

  #onAnswered(attempt: RequestAttempt, body: Uint8Array): void {
    this.#retries.executions += 1;
    const { status } = attempt;
    const failed = status >= FIRST_SERVER_ERROR;
    // A peer has retried already.
    const mayRetry = failed && attempt.kind !== 'peer';
    if (mayRetry && this.#retries.mayRepeat() && this.#retries.tryCharge()) {
      this.#avoid(attempt);
      this.#place();
      return;
    }
    if (this.#answer.begun) {
      this.#endUnserved(`stream resumed with status ${status}`, NO_ENDPOINT_RETRY_AFTER_MS);
      return;
    }
    this.#answer.firstByteMs = this.#sinceArrivalMs();
    this.#finish(failed ? 'endpointFailed' : 'served', status, '', () =>
      this.#answer.sendWhole(attempt, body),
    );
  }

  /**
   * Places the request again, or ends it. A request that was not executed may be placed up to
   * `MAXIMUM_PLACEMENTS` times; one that may have been executed also needs a route that allows retries.
   * The retry budget is charged if an endpoint received the request.
   */
  #retryOrEnd(
    detail: string,
    { mayHaveRun, arrived }: { readonly mayHaveRun: boolean; readonly arrived: boolean },
  ): void {
    const mayPlace = mayHaveRun || this.#retries.executions > 0 ? this.#retries.mayRepeat() : true;
    const hasPlacementsLeft = this.#placementCount < MAXIMUM_PLACEMENTS;
    if (mayPlace && hasPlacementsLeft && (!arrived || this.#retries.tryCharge())) this.#place();
    else this.#endUnserved(detail, NO_ENDPOINT_RETRY_AFTER_MS);
  }

  #onDeadline(): void {
    if (!this.#done) this.#abandon(STATUS.gatewayTimeout, 'deadline passed');
  }

  /**
   * Cancels the ticket and the attempt, and sends the final answer. An endpoint may have executed an
   * attempt that was written, so that this one counts as an execution.
   *
   * @param failureStatus - HTTP status if an endpoint may have executed the request
   * @param reason - why the request ends, for the log
   */
  #abandon(failureStatus: number, reason: string): void {
    if (this.#attempt !== undefined && !this.#attempt.ended && this.#attempt.written)
      this.#retries.executions += 1;
    this.#cancel();
    this.#endUnserved(reason, NO_ENDPOINT_RETRY_AFTER_MS, STATUS.unavailable, failureStatus);
  }

  #onCallerLeft(): void {
    if (this.#done) return;
    this.#cancel();
    this.#finish('callerLeft', 0, '', () => {});
  }

  #cancel(): void {
    if (this.#ticketId !== undefined && this.#context.placements.withdraw(this.#ticketId))
      this.#isCharged = true;
    this.#ticketId = undefined;
    this.#attempt?.cancel();
  }

  /**
   * Ends a request that isn't served: the answer tells whether it may have been executed. One that has begun is broken
   * off, so that the caller sees that it is incomplete.
   *
   * @param reason - why the request ends, for the log
   * @param retryAfterMs - `Retry-After` of the answer if no endpoint executed the request
   * @param refusalStatus - HTTP status if no endpoint executed the request
   * @param failureStatus - HTTP status if an endpoint may have executed the request
   */
  #endUnserved(
    reason: string,
    retryAfterMs: number,
    refusalStatus: number = STATUS.unavailable,
    failureStatus: number = STATUS.badGateway,
  ): void {
    if (this.#answer.begun) {
      this.#finish('brokenOff', 0, reason, () => this.#answer.abort());
      return;
    }
    if (this.#retries.executions > 0) {
      this.#finish('failed', failureStatus, reason, () =>
        this.#answer.sendOwn(failureStatus, undefined),
      );
      return;
    }
    // Another peer may have reach.
    const isDeclined = this.#request.forwarded !== undefined && this.#context.reach.isIsolated;
    const status = isDeclined ? STATUS_DECLINED : refusalStatus;
    this.#finish('refused', status, reason, () => this.#answer.sendOwn(status, retryAfterMs));
  }

  #sinceArrivalMs(): number {
    return this.#context.now() - this.#request.inbound.arrivedAt;
  }

  #finish(outcome: RequestOutcome, status: number, reason: string, sendAnswer: () => void): void {
    if (this.#done) return;
    this.#done = true;
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#restTimer);
    sendAnswer();
    recordRequestEnd(this.#context, this.#request, this.#attempt, {
      outcome,
      status,
      reason,
      offers: this.#placementCount,
      runs: this.#retries.executions,
      firstByteMs: Math.round(this.#answer.firstByteMs),
      totalMs: Math.round(this.#sinceArrivalMs()),
    });
    this.#context.onFinished(this);
  }
}
