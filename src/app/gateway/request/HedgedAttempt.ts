import type { HedgeLimit, SlowRequest } from '../../../coordination/gateway/index.ts';
import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import type { GatewayContext } from '../GatewayContext.ts';
import type { HedgeMonitor } from '../placement/HedgeMonitor.ts';
import type { PlacementAnswer } from '../placement/LocalTickets.ts';
import type { AttemptEvent, RequestAttempt } from './RequestAttempt.ts';
import type { RequestEndpoints } from './RequestEndpoints.ts';
import type { RequestRetries } from './RequestRetries.ts';
import type { RoutedRequest } from './RoutedRequest.ts';

/** What the two copies of a request share. */
export interface HedgedAttemptOptions {
  readonly context: Pick<
    GatewayContext,
    'placements' | 'exclusions' | 'pauses' | 'reach' | 'metrics' | 'logger' | 'now'
  >;
  readonly hedging: Pick<HedgeMonitor, 'policy' | 'record'>;
  readonly request: Pick<RoutedRequest, 'id' | 'service'>;
  readonly slowRequest: Omit<SlowRequest, 'mayRepeat'>;
  readonly retries: Pick<RequestRetries, 'mayRepeat' | 'tryCharge' | 'executions'>;
  readonly endpoints: Pick<RequestEndpoints, 'avoided' | 'selectHedge' | 'findGranted'>;
  /** Endpoint of the first copy. */
  readonly endpoint: EndpointRecord;
  /** Ticket of the first copy; undefined for an endpoint that needs none. */
  readonly ticketId: string | undefined;
  /** Whether a second copy may be sent at all, besides the limits: the caller has no part of the answer yet. */
  readonly isReplaceable: () => boolean;
  /** Makes the ticket of the second copy, which avoids the endpoint of the first. */
  readonly makeTicket: (avoided: EndpointRecord) => PlacementTicket;
  /** Creates the attempt that sends a copy to an endpoint. */
  readonly makeCopy: (
    endpoint: EndpointRecord,
    ticketId: string | undefined,
    onEvent: (event: AttemptEvent) => void,
  ) => RequestAttempt;
  /** Calls a function after a time in ms; returns a function that prevents it. */
  readonly schedule: (run: () => void, delayMs: number) => () => void;
  /** Called if the first copy is cancelled because the second answered, with the time in ms that it had taken. */
  readonly onFirstLost: (ms: number) => void;
  readonly onEvent: (event: AttemptEvent) => void;
}

const FIRST_SERVER_ERROR = 500;

/**
 * Sends a request to one endpoint and, if that is slow and the limits allow it, a second copy to another. The copy
 * that answers first is the attempt from then on, and the other is cancelled.
 */
export class HedgedAttempt implements RequestAttempt {
  readonly kind = 'endpoint';

  readonly #options: HedgedAttemptOptions;

  readonly #first: RequestAttempt;

  #second: RequestAttempt | undefined;

  /** The copy whose state is that of the attempt. */
  #current: RequestAttempt;

  /** Whether one copy has begun to answer. */
  #isDecided = false;

  /** Whether the last event was passed on, or the attempt was cancelled. */
  #isClosed = false;

  #sentAt = 0;

  /** Prevents the second copy that is due later. */
  #unschedule: (() => void) | undefined;

  /** Ticket of the second copy while the scheduler decides on it. */
  #pendingTicketId: string | undefined;

  constructor(options: HedgedAttemptOptions) {
    this.#options = options;
    const { endpoint, ticketId } = options;
    this.#first = options.makeCopy(endpoint, ticketId, (event) =>
      this.#onCopyEvent(this.#first, event),
    );
    this.#current = this.#first;
  }

  get target(): string {
    return this.#current.target;
  }

  get viewAge(): RequestAttempt['viewAge'] {
    return this.#current.viewAge;
  }

  get writing(): RequestAttempt['writing'] {
    return this.#current.writing;
  }

  get ended(): boolean {
    return this.#isClosed || this.#copies().every(({ ended }) => ended);
  }

  get written(): boolean {
    return this.#copies().some(({ written }) => written);
  }

  get heardAt(): number {
    return Math.max(...this.#copies().map(({ heardAt }) => heardAt));
  }

  get status(): number {
    return this.#current.status;
  }

  get headerLines(): readonly string[] {
    return this.#current.headerLines;
  }

  get framing(): RequestAttempt['framing'] {
    return this.#current.framing;
  }

  get streamProgress(): RequestAttempt['streamProgress'] {
    return this.#current.streamProgress;
  }

  start(): void {
    const { hedging, slowRequest, context, retries, isReplaceable } = this.#options;
    this.#sentAt = context.now();
    const slowAfterMs = hedging.policy.slowAfterMs(slowRequest.group, this.#sentAt);
    // Routes that never allow a second attempt aren't counted as rejected by a limit.
    if (slowAfterMs !== undefined && retries.mayRepeat(1) && isReplaceable())
      this.#scheduleSecond(slowAfterMs);
    this.#first.start();
  }

  cancel(): void {
    if (this.#isClosed) return;
    this.#close();
    if (!this.#isDecided) this.#logResult('none');
    this.#copies()
      .filter(({ ended }) => !ended)
      .forEach((copy) => copy.cancel());
  }

  pause(): void {
    this.#current.pause();
  }

  resume(): void {
    this.#current.resume();
  }

  #copies(): readonly RequestAttempt[] {
    return this.#second === undefined ? [this.#first] : [this.#first, this.#second];
  }

  /** Returns the other copy if it still may answer. */
  #runningBeside(copy: RequestAttempt): RequestAttempt | undefined {
    return this.#copies().find((other) => other !== copy && !other.ended);
  }

  #scheduleSecond(slowAfterMs: number): void {
    const { schedule } = this.#options;
    this.#unschedule = schedule(() => this.#onSlow(slowAfterMs), slowAfterMs);
  }

  #close(): void {
    this.#isClosed = true;
    this.#stopHedging();
  }

  /** From here on no second copy is sent. */
  #stopHedging(): void {
    this.#unschedule?.();
    if (this.#pendingTicketId === undefined) return;
    this.#options.context.placements.withdraw(this.#pendingTicketId);
    this.#pendingTicketId = undefined;
  }

  /** Sends the second copy if the limits allow it, or asks the scheduler for its slot. */
  #onSlow(slowAfterMs: number): void {
    const { context, endpoints, endpoint, isReplaceable } = this.#options;
    // An endpoint that has begun its answer isn't slow to begin.
    const isWaiting = !this.#first.ended && this.#first.status === 0;
    if (!isWaiting || !isReplaceable() || context.reach.isIsolated) return;
    if (!this.#first.written) {
      // A request that waits for its connection can't be slow at the endpoint yet.
      this.#scheduleSecond(slowAfterMs);
      return;
    }
    const limit = context.pauses.check() ? this.#findLimit() : 'pause';
    if (limit !== undefined) {
      this.#refuse(limit);
      return;
    }
    const selection = endpoints.selectHedge(endpoint);
    switch (selection._tag) {
      case 'direct':
        this.#sendSecond(selection.endpoint, undefined, slowAfterMs);
        return;
      case 'scheduled':
        this.#requestSlot(slowAfterMs);
        return;
      case 'none':
        this.#refuse('endpoint');
        return;
      default:
        selection satisfies never;
    }
  }

  #requestSlot(slowAfterMs: number): void {
    const { context, endpoint, makeTicket } = this.#options;
    const ticket = makeTicket(endpoint);
    const hedge: PlacementTicket = {
      ...ticket,
      id: `${ticket.id}h`,
      // The first copy is late already, so that the second is of use at any time before the deadline.
      targetMs: ticket.remainingMs,
      hedge: { failureDomain: endpoint.failureDomain },
    };
    this.#pendingTicketId = hedge.id;
    context.placements.requestSlot(hedge, (answer) =>
      this.#onPlacementAnswer(hedge.id, answer, slowAfterMs),
    );
  }

  #onPlacementAnswer(ticketId: string, answer: PlacementAnswer, slowAfterMs: number): void {
    if (this.#pendingTicketId !== ticketId) return;
    this.#pendingTicketId = undefined;
    if (answer._tag === 'refused') {
      this.#refuse('scheduler');
      return;
    }
    const { exclusions, placements, pauses } = this.#options.context;
    const endpoint = this.#options.endpoints.findGranted(answer.endpoint);
    const isUsable = endpoint !== undefined && exclusions.find(endpoint) === undefined;
    if (isUsable && this.#first.status === 0 && pauses.check()) {
      this.#sendSecond(endpoint, ticketId, slowAfterMs);
      return;
    }
    placements.releaseSlot(ticketId, { outcome: 'unused' });
    this.#refuse('endpoint');
  }

  /** Checks and charges all limits again at the moment of sending. */
  #sendSecond(endpoint: EndpointRecord, ticketId: string | undefined, slowAfterMs: number): void {
    const { context, hedging, retries, makeCopy, request } = this.#options;
    const now = context.now();
    const limit = hedging.policy.tryHedge(this.#slowRequest(), () => retries.tryCharge(), now);
    if (limit !== undefined) {
      context.placements.releaseSlot(ticketId ?? '', { outcome: 'unused' });
      this.#refuse(limit);
      return;
    }
    // One of the copies may have run the request when the other ends.
    retries.executions += 1;
    context.metrics.countHedge(this.#route, 'sent');
    context.logger.info(
      {
        request: request.id,
        first: this.#first.target,
        second: endpoint.id,
        ticket: ticketId,
        slowAfterMs: Math.round(slowAfterMs),
        afterMs: Math.round(now - this.#sentAt),
      },
      'hedge sent',
    );
    const second = makeCopy(endpoint, ticketId, (event) => this.#onCopyEvent(second, event));
    this.#second = second;
    second.start();
  }

  #findLimit(): HedgeLimit | undefined {
    const { hedging, context } = this.#options;
    return hedging.policy.findLimit(this.#slowRequest(), context.now());
  }

  #slowRequest(): SlowRequest {
    const { slowRequest, retries } = this.#options;
    // The first copy is the present attempt, which isn't counted before its end.
    return { ...slowRequest, mayRepeat: retries.mayRepeat(retries.executions + 1) };
  }

  #refuse(limit: HedgeLimit): void {
    const { context, request } = this.#options;
    context.metrics.countHedge(this.#route, 'rejected', limit);
    context.logger.info(
      { request: request.id, limit, afterMs: Math.round(context.now() - this.#sentAt) },
      'hedge rejected',
    );
  }

  #onCopyEvent(copy: RequestAttempt, event: AttemptEvent): void {
    if (this.#isClosed || (this.#isDecided && copy !== this.#current)) return;
    const other = this.#isDecided ? undefined : this.#runningBeside(copy);
    switch (event._tag) {
      case 'streamed':
      case 'streamEnded':
        this.#decide(copy, other);
        break;
      case 'answered':
        if (copy.status >= FIRST_SERVER_ERROR && other !== undefined) {
          this.#drop(copy, other, true, `status ${copy.status}`);
          return;
        }
        this.#decide(copy, other);
        break;
      case 'broken':
        if (other !== undefined) {
          this.#drop(copy, other, true, event.detail);
          return;
        }
        break;
      case 'notRun':
      case 'notSent':
        if (other !== undefined) {
          this.#drop(copy, other, false, event._tag);
          return;
        }
        break;
      case 'unserved':
        break;
      default:
        event satisfies never;
    }
    if (event._tag !== 'streamed') {
      if (!this.#isDecided) this.#logResult('none');
      this.#current = copy;
      this.#close();
    }
    this.#options.onEvent(event);
  }

  /** Takes a copy as the attempt and cancels the other one. */
  #decide(copy: RequestAttempt, other: RequestAttempt | undefined): void {
    if (this.#isDecided) return;
    this.#isDecided = true;
    this.#current = copy;
    this.#stopHedging();
    const { hedging, slowRequest, context, isReplaceable } = this.#options;
    const isAnswerOfFirst = copy === this.#first && copy.status < FIRST_SERVER_ERROR;
    // A first copy that is cancelled took at least this long: without it, slow ones would not count at all.
    if ((isAnswerOfFirst || other === this.#first) && isReplaceable())
      hedging.record(slowRequest.group, context.now() - this.#sentAt);
    this.#logResult(copy === this.#first ? 'first' : 'second');
    if (other === undefined) return;
    if (other === this.#first) this.#options.onFirstLost(context.now() - this.#sentAt);
    other.cancel();
    context.metrics.countHedge(this.#route, 'cancelled');
  }

  /** Goes on with the other copy alone. */
  #drop(copy: RequestAttempt, other: RequestAttempt, mayHaveRun: boolean, detail: string): void {
    const { retries, endpoints, context, request } = this.#options;
    if (!mayHaveRun) retries.executions -= 1;
    endpoints.avoided.push(copy.target);
    this.#current = other;
    context.logger.info(
      { request: request.id, ended: copy.target, remaining: other.target, detail },
      'hedged request goes on with one copy',
    );
  }

  /** Records which copy answered, if two were sent. */
  #logResult(winner: 'first' | 'second' | 'none'): void {
    if (this.#second === undefined) return;
    const { context, request } = this.#options;
    context.metrics.countHedge(this.#route, winner === 'second' ? 'won' : 'wasted');
    const totalMs = Math.round(context.now() - this.#sentAt);
    context.logger.info({ request: request.id, winner, totalMs }, 'hedge ended');
  }

  get #route(): string {
    return this.#options.slowRequest.group.route;
  }
}
