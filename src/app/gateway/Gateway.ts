import type { Logger } from 'pino';
import { CallerPatience, RouteIndex, pickService } from '../../coordination/gateway/index.ts';
import type { EndpointRecord, RouteTable } from '../../state/gateway/index.ts';
import type { InboundAnswer, InboundRequest } from '../../transport/gateway/index.ts';
import type { GatewayParts } from './GatewayParts.ts';
import { RequestRun } from './RequestRun.ts';

/** How a gateway stands towards new requests. */
export type GatewayPhase =
  | { readonly _tag: 'serving' }
  /** Asked to stop; what is in flight is served to its end. */
  | { readonly _tag: 'draining'; readonly since: number };

const STATUS = { badRequest: 400, unauthorized: 401, notFound: 404, unavailable: 503 } as const;
const EMPTY = Buffer.alloc(0);
/** Time after which a caller may try a process again that has no configuration yet. */
const NOT_READY_RETRY_MS = 300;
/** Time after which a caller may try another instance while this one stops. */
const STOPPING_RETRY_MS = 50;
/** Streams that come later than this after the start of a drain might not end before the process must. */
const DRAIN_STREAMS_MS = 2_500;

/** Answers callers by the configuration in force. */
export class Gateway {
  readonly #parts: GatewayParts;

  readonly #logger: Logger;

  readonly #runs = new Set<RequestRun>();

  readonly #patience = new CallerPatience();

  #index: RouteIndex | undefined;

  #phase: GatewayPhase = { _tag: 'serving' };

  constructor(parts: Omit<GatewayParts, 'onDone'>) {
    this.#parts = { ...parts, onDone: (run) => this.#runs.delete(run) };
    this.#logger = parts.logger;
  }

  get routeIndex(): RouteIndex | undefined {
    return this.#index;
  }

  get phase(): GatewayPhase {
    return this.#phase;
  }

  /** Requests that aren't answered yet. */
  get inFlight(): number {
    return this.#runs.size;
  }

  /**
   * Puts a configuration in force, unless one as new is.
   *
   * @param table - the configuration
   * @param source - where it came from, for the log
   * @returns whether it was taken
   */
  configure(table: RouteTable, source: string): boolean {
    const before = this.#index?.table.version;
    if (before !== undefined && table.version <= before) return false;
    this.#index = new RouteIndex(table);
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

  /** Stops taking long requests and lets those in flight end. */
  drain(): void {
    if (this.#phase._tag === 'draining') return;
    this.#phase = { _tag: 'draining', since: this.#parts.now() };
  }

  /** Ends what is still in flight. */
  abortAll(): void {
    [...this.#runs].forEach((run) => run.abort());
  }

  /** Endpoints of services with model engines. */
  engines(): EndpointRecord[] {
    return this.#parts.directory
      .allReady()
      .filter(({ service }) => this.#index?.findService(service)?.engine !== undefined);
  }

  /** Serves one request. */
  serve(inbound: InboundRequest, answer: InboundAnswer): void {
    const { wire } = this.#parts;
    const fields = wire.readCaller(inbound.headerLines);
    if (this.#index === undefined) {
      this.#turnAway(answer, fields.id, STATUS.unavailable, 'no configuration', NOT_READY_RETRY_MS);
      return;
    }
    const { id } = fields;
    if (id === undefined || id === '') {
      this.#turnAway(answer, id, STATUS.badRequest, 'no request id');
      return;
    }
    const match = this.#index.match(inbound.host, inbound.target, fields.accountKey);
    if (match._tag === 'noRoute') {
      this.#turnAway(answer, id, STATUS.notFound, 'no route');
      return;
    }
    if (match._tag === 'unknownKey') {
      this.#turnAway(answer, id, STATUS.unauthorized, 'unknown key');
      return;
    }
    const { route, account } = match;
    const service = this.#index.findService(pickService(route, this.#parts.random()));
    if (service === undefined) {
      this.#turnAway(answer, id, STATUS.unavailable, 'unknown service', NOT_READY_RETRY_MS);
      return;
    }
    if (route.kind === 'stream' && this.#isTooLateForStreams()) {
      this.#turnAway(answer, id, STATUS.unavailable, 'stopping', STOPPING_RETRY_MS);
      return;
    }
    const configurationVersion = this.#index.table.version;
    const waitedBeforeMs =
      fields.deadlineMs === undefined
        ? 0
        : this.#patience.waitedBefore(route.name, fields.deadlineMs);
    const run = new RequestRun(
      this.#parts,
      { id, inbound, fields, route, account, service, waitedBeforeMs, configurationVersion },
      answer,
    );
    this.#runs.add(run);
    run.start();
  }

  #isTooLateForStreams(): boolean {
    return (
      this.#phase._tag === 'draining' && this.#parts.now() - this.#phase.since > DRAIN_STREAMS_MS
    );
  }

  #turnAway(
    answer: InboundAnswer,
    id: string | undefined,
    status: number,
    reason: string,
    retryAfterMs?: number,
  ): void {
    const lines = retryAfterMs === undefined ? [] : this.#parts.wire.retryAfterHeader(retryAfterMs);
    answer.send(status, lines, EMPTY);
    this.#parts.metrics.countEnded('', 'turnedAway', status);
    this.#logger.info(
      { request: id, outcome: 'turnedAway', status, reason, version: this.#index?.table.version },
      'request ended',
    );
  }
}
