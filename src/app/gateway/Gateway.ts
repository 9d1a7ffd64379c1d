import type { Logger } from 'pino';
import {
  CallerRetryDetector,
  RouteIndex,
  mayAdmitInDrain,
  pickService,
  type Drain,
} from '../../coordination/gateway/index.ts';
import type { DecodedRequestHeaders, ForwardEnvelope } from '../../protocol/gateway/index.ts';
import type { EndpointRecord, RouteTable } from '../../state/gateway/index.ts';
import type { InboundAnswer, InboundRequest } from '../../transport/gateway/index.ts';
import { fingerprintRequest } from './crashes/fingerprintRequest.ts';
import type { GatewayContext } from './GatewayContext.ts';
import { STATUS_DECLINED } from './reach/PeerAttempt.ts';
import { RequestHandler } from './request/RequestHandler.ts';

/** Whether a gateway is serving normally or draining before it stops. */
export type GatewayPhase =
  | { readonly _tag: 'serving' }
  /** Requests in flight are completed. */
  | { readonly _tag: 'draining'; readonly drain: Drain };

const STATUS = { badRequest: 400, unauthorized: 401, notFound: 404, unavailable: 503 } as const;
const EMPTY_BODY = Buffer.alloc(0);
/** `Retry-After` for callers of a gateway that has no configuration yet. */
const NOT_READY_RETRY_AFTER_MS = 300;
/** `Retry-After` for requests that are refused during a drain; another instance can serve them at once. */
const DRAINING_RETRY_AFTER_MS = 50;

/** Routes the requests of callers by the configuration in force and tracks those in flight. */
export class Gateway {
  readonly #context: GatewayContext;

  readonly #logger: Logger;

  readonly #handlers = new Set<RequestHandler>();

  readonly #callerRetryDetector = new CallerRetryDetector();

  #routeIndex: RouteIndex | undefined;

  #phase: GatewayPhase = { _tag: 'serving' };

  constructor(context: Omit<GatewayContext, 'onFinished'>) {
    this.#context = { ...context, onFinished: (handler) => this.#handlers.delete(handler) };
    this.#logger = context.logger;
  }

  /** Index of the configuration in force; undefined until the first one arrives. */
  get routeIndex(): RouteIndex | undefined {
    return this.#routeIndex;
  }

  /** Present phase: serving or draining. */
  get phase(): GatewayPhase {
    return this.#phase;
  }

  /** Number of requests that have no final answer yet. */
  get inFlight(): number {
    return this.#handlers.size;
  }

  /**
   * Puts a configuration in force if its version is higher than the present one.
   *
   * @param table - routes, services and client accounts
   * @param source - origin of the configuration, for the log
   * @returns whether the configuration was applied
   */
  configure(table: RouteTable, source: string): boolean {
    const before = this.#routeIndex?.table.version;
    if (before !== undefined && table.version <= before) return false;
    this.#routeIndex = new RouteIndex(table);
    this.#logger.info(
      {
        version: table.version,
        before,
        source,
        routes: table.routes.length,
        services: table.services.length,
        accounts: table.accounts?.map(({ name, priority, quota }) => ({
          name,
          priority,
          ...quota,
        })),
      },
      'configuration in force',
    );
    return true;
  }

  /**
   * Starts the drain: requests in flight are completed, and those that arrive too late are refused.
   *
   * @param endsAt - when requests in flight will be ended, in ms, monotonic
   */
  drain(endsAt: number): void {
    if (this.#phase._tag === 'draining') return;
    this.#phase = { _tag: 'draining', drain: { startedAt: this.#context.now(), endsAt } };
  }

  /**
   * Ends all requests in flight: with a final answer, or by closing the connection if the answer has
   * begun.
   */
  abortAll(): void {
    [...this.#handlers].forEach((handler) => handler.abort());
  }

  /**
   * Returns the ready endpoints whose requests the scheduler places: model engines, and others that state a
   * limit.
   *
   * @param isLimited - whether an endpoint states a limit
   */
  scheduledEndpoints(isLimited: (endpoint: EndpointRecord) => boolean): EndpointRecord[] {
    return this.#context.directory
      .listAccepting()
      .filter(
        (record) =>
          this.#routeIndex?.findService(record.service)?.engine !== undefined || isLimited(record),
      );
  }

  /**
   * Serves one request. Rejects it if there is no configuration yet, if it has no id, no route, an
   * unknown key or no service, or if it arrives too late in a drain.
   *
   * @param inbound - the request with its body
   * @param answer - receives the final answer
   */
  serve(inbound: InboundRequest, answer: InboundAnswer): void {
    this.#serve(inbound, answer, undefined);
  }

  /**
   * Serves a request that a peer forwarded, or declines it so that the peer tries another one: if this gateway
   * drains or reaches no endpoint either, or has an older configuration than the peer.
   *
   * @param inbound - the request as its caller sent it to the peer
   * @param answer - receives the final answer
   * @param envelope - what the peer said
   */
  serveForwarded(inbound: InboundRequest, answer: InboundAnswer, envelope: ForwardEnvelope): void {
    const version = this.#routeIndex?.table.version ?? Number.NEGATIVE_INFINITY;
    const isUsable =
      this.#phase._tag === 'serving' &&
      !this.#context.reach.isIsolated &&
      version >= envelope.configurationVersion;
    if (isUsable) this.#serve(inbound, answer, envelope);
    else this.#decline(answer, envelope, 'drains, is isolated or has an older configuration');
  }

  /**
   * Returns the id of an endpoint that has kept a request waiting in silence, if there is one.
   *
   * @param now - present time in ms, monotonic
   */
  findSilentEndpoint(now: number): string | undefined {
    return [...this.#handlers]
      .map((handler) => handler.silentEndpoint(now))
      .find((endpoint) => endpoint !== undefined);
  }

  /**
   * Moves requests in flight to peers, or to other ones, where that is needed and safe.
   *
   * @param now - present time in ms, monotonic
   */
  reviewInFlight(now: number): void {
    [...this.#handlers].forEach((handler) => handler.review(now));
  }

  #serve(
    inbound: InboundRequest,
    answer: InboundAnswer,
    forwarded: ForwardEnvelope | undefined,
  ): void {
    const { wire } = this.#context;
    const fields = wire.readRequestHeaders(inbound.headerLines);
    const reject = (status: number, reason: string, retryAfterMs?: number): void => {
      if (forwarded === undefined) this.#reject(answer, fields.id, status, reason, retryAfterMs);
      else this.#decline(answer, forwarded, reason);
    };
    if (this.#routeIndex === undefined) {
      reject(STATUS.unavailable, 'no configuration', NOT_READY_RETRY_AFTER_MS);
      return;
    }
    const { id } = fields;
    if (id === undefined || id === '') {
      reject(STATUS.badRequest, 'no request id');
      return;
    }
    const match = this.#routeIndex.match(inbound.host, inbound.target, fields.accountKey);
    if (match._tag === 'noRoute') {
      reject(STATUS.notFound, 'no route');
      return;
    }
    if (match._tag === 'unknownKey') {
      reject(STATUS.unauthorized, 'unknown key');
      return;
    }
    const { route, account } = match;
    const service = this.#routeIndex.findService(pickService(route, this.#context.random()));
    if (service === undefined) {
      reject(STATUS.unavailable, 'unknown service', NOT_READY_RETRY_AFTER_MS);
      return;
    }
    if (this.#isTooLate(Math.min(route.timeoutMs, fields.deadlineMs ?? route.timeoutMs))) {
      reject(STATUS.unavailable, 'stopping', DRAINING_RETRY_AFTER_MS);
      return;
    }
    const configurationVersion = this.#routeIndex.table.version;
    const waitedBeforeMs = forwarded?.waitedBeforeMs ?? this.#estimateWaitedMs(route.name, fields);
    let fingerprint: string | undefined;
    const handler = new RequestHandler(
      this.#context,
      {
        id,
        inbound,
        fields,
        route,
        account,
        service,
        waitedBeforeMs,
        fingerprint: () => {
          fingerprint ??= fingerprintRequest(inbound, account?.name);
          return fingerprint;
        },
        forwarded,
        configurationVersion,
      },
      answer,
    );
    this.#handlers.add(handler);
    handler.start();
  }

  #estimateWaitedMs(route: string, { deadlineMs }: DecodedRequestHeaders): number {
    return deadlineMs === undefined
      ? 0
      : this.#callerRetryDetector.estimateWaitedMs(route, deadlineMs);
  }

  #decline(answer: InboundAnswer, { from }: ForwardEnvelope, reason: string): void {
    answer.send(STATUS_DECLINED, [], EMPTY_BODY);
    this.#context.metrics.countForwarding('received', 'declined');
    this.#logger.info({ forwardedBy: from, reason }, 'forwarded request declined');
  }

  /** Whether a request that may take this long might be cut off at the end of a drain. */
  #isTooLate(longestMs: number): boolean {
    const phase = this.#phase;
    return (
      phase._tag === 'draining' && !mayAdmitInDrain(phase.drain, longestMs, this.#context.now())
    );
  }

  #reject(
    answer: InboundAnswer,
    id: string | undefined,
    status: number,
    reason: string,
    retryAfterMs?: number,
  ): void {
    const lines =
      retryAfterMs === undefined ? [] : this.#context.wire.buildRetryAfterHeader(retryAfterMs);
    answer.send(status, lines, EMPTY_BODY);
    this.#context.metrics.countRequest('', 'turnedAway', status);
    this.#logger.info(
      {
        request: id,
        outcome: 'turnedAway',
        status,
        reason,
        version: this.#routeIndex?.table.version,
      },
      'request ended',
    );
  }
}
