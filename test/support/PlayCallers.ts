import * as http from 'node:http';
import { SOAK_HOST } from '../soak/soakConfiguration.ts';
import type { GatewayFleet } from './GatewayFleet.ts';
import type { Owner } from './Owner.ts';

/** What a caller asks for. */
export interface CallerContent {
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** A request, and what its caller has seen of the answer so far. */
export interface SentRequest<Kind extends string> {
  readonly id: string;
  readonly kind: Kind;
  /** Index of the gateway that it was sent to. */
  readonly gateway: number;
  readonly at: number;
  /** Status of the complete answer; 0 without one. */
  status: number;
  /** When the first byte of a successful body arrived; undefined before. */
  begunAt: number | undefined;
  endedAt: number | undefined;
  hasRetryAfter: boolean;
  text: string;
}

/** How callers behave. */
export interface PlayCallersOptions {
  readonly fleet: GatewayFleet;
  /** Begins the id of each request. */
  readonly prefix: string;
  /** A random number in [0, 1). */
  readonly fraction: () => number;
  readonly deadlineMs: number;
  /** Time after which a caller gives up, in ms. */
  readonly patienceMs: number;
}

const KEY = 'key-of-the-office';
const SERVED = 200;
const MS_PER_SECOND = 1_000;

/** Statuses that promise that the request has not run. */
export const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Share of requests for which something holds; 1 if there are none. */
export const shareOf = <T>(all: readonly T[], holds: (one: T) => boolean): number =>
  all.length === 0 ? 1 : all.filter(holds).length / all.length;

/** Whether a request was answered with a complete success. */
export const isServed = ({ status }: { readonly status: number }): boolean => status === SERVED;

/** Callers of a fleet, which send at random times to random gateways and keep connections. */
export class PlayCallers<Kind extends string> {
  readonly #options: PlayCallersOptions;

  readonly #agent = new http.Agent({ keepAlive: true });

  /** All requests by their id. */
  readonly sent = new Map<string, SentRequest<Kind>>();

  constructor(owner: Owner, options: PlayCallersOptions) {
    this.#options = options;
    owner.after(() => this.#agent.destroy());
  }

  /** Sends one request to a gateway. */
  send(kind: Kind, { method, path, body, headers }: CallerContent): void {
    const { fleet, prefix, fraction, deadlineMs, patienceMs } = this.#options;
    const gateway = Math.floor(fraction() * fleet.size);
    const id = `${prefix}-${this.sent.size + 1}`;
    const request: SentRequest<Kind> = {
      id,
      kind,
      gateway,
      at: performance.now(),
      status: 0,
      begunAt: undefined,
      endedAt: undefined,
      hasRetryAfter: false,
      text: '',
    };
    this.sent.set(id, request);
    const end = (): void => {
      request.endedAt ??= performance.now();
    };
    const call = http.request({
      ...fleet.callerAddress(gateway),
      path,
      method,
      agent: this.#agent,
      headers: {
        host: SOAK_HOST,
        'x-corianderwick-request-id': id,
        'x-corianderwick-key': KEY,
        'x-corianderwick-deadline-ms': String(deadlineMs),
        ...headers,
      },
    });
    call.setTimeout(patienceMs, () => call.destroy());
    call.on('error', end);
    call.on('response', (response) => {
      request.hasRetryAfter = response.headers['retry-after'] !== undefined;
      response.on('error', () => {});
      response.on('data', (bytes: Buffer) => {
        if (response.statusCode === SERVED) request.begunAt ??= performance.now();
        request.text += bytes.toString('latin1');
      });
      response.on('close', () => {
        if (response.complete) request.status = response.statusCode ?? 0;
        end();
      });
    });
    call.end(body);
  }

  /** Sends requests at random times until a moment, so many a second. */
  sendAtRate(rate: () => number, sendOne: () => void, untilAt: number): void {
    const pauseMs = (-Math.log(1 - this.#options.fraction()) * MS_PER_SECOND) / rate();
    setTimeout(() => {
      if (performance.now() > untilAt) return;
      sendOne();
      this.sendAtRate(rate, sendOne, untilAt);
    }, pauseMs);
  }

  /** Returns the requests for which something holds. */
  select(holds: (request: SentRequest<Kind>) => boolean): SentRequest<Kind>[] {
    return [...this.sent.values()].filter(holds);
  }
}
