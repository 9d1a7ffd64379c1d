import * as http from 'node:http';
import type { Owner } from '../support/Owner.ts';
import type { CallerEnd, CallerSend, RouteKind } from './PromiseChecker.ts';
import { SOAK_HOST } from './soakConfiguration.ts';

/** A request that callers send again and again. */
export interface CallerRoute {
  readonly path: string;
  readonly kind: RouteKind;
  readonly key: string;
  readonly deadlineMs: number;
  /** Requests a second. */
  readonly rate: number;
  /** Prompt and output tokens, for streams. */
  readonly tokens: readonly [number, number] | undefined;
}

/** What callers report, and where they connect. */
export interface SoakCallersOptions {
  readonly routes: readonly CallerRoute[];
  readonly directories: () => readonly string[];
  /** Gives the address through which a gateway's caller port is reached. */
  readonly through: (address: string) => string;
  readonly fraction: () => number;
  readonly onSend: (send: CallerSend) => void;
  readonly onEnd: (end: CallerEnd) => void;
}

const CALLERS = 9;
/** Every third caller keeps a list of addresses three times as long. */
const STICKY_EVERY = 3;
const KEEP_MS = 2_000;
const ASK_TIMEOUT_MS = 1_000;
/** Part of the callers' requests that are given up early. */
const LEAVING_SHARE = 0.04;
const LEAVES_AFTER_MS = 60;
const PROMISES: readonly number[] = [408, 421, 429, 503];
const FINAL: readonly number[] = [400, 401, 404, 413, 431];
/** Of the time that is left, callers wait at most this part before they come back. */
const LONGEST_PAUSE_SHARE = 1 / 3;
const DEFAULT_PAUSE_MS = 100;

interface Caller {
  readonly agent: http.Agent;
  readonly keepMs: number;
  addresses: readonly string[];
  askedAt: number;
}

const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const mayRepeat = (kind: RouteKind, { status }: CallerEnd): boolean => {
  if (FINAL.includes(status) || (status >= 200 && status < 300)) return false;
  return kind === 'safe' || PROMISES.includes(status);
};

/** Asks a gateway which addresses to use; none where it gives none. */
const askForAddresses = (directory: string): Promise<readonly string[]> =>
  new Promise((resolve) => {
    const request = http.get(
      `http://${directory}/api/resolve?name=${SOAK_HOST}&region=here&zone=a`,
      { agent: false, timeout: ASK_TIMEOUT_MS },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => resolve([]));
        response.on('end', () =>
          resolve(
            response.statusCode === 200
              ? JSON.parse(Buffer.concat(chunks).toString()).addresses
              : [],
          ),
        );
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve([]));
  });

/** Callers that ask for addresses, keep connections and send requests without waiting for answers. */
export class SoakCallers {
  readonly #options: SoakCallersOptions;

  readonly #callers: readonly Caller[];

  /** The next request of each route. */
  readonly #timers = new Map<CallerRoute, NodeJS.Timeout>();

  #sent = 0;

  #stopped = false;

  constructor(owner: Owner, options: SoakCallersOptions) {
    this.#options = options;
    this.#callers = Array.from({ length: CALLERS }, (_, index) => ({
      agent: new http.Agent({ keepAlive: true }),
      keepMs: index % STICKY_EVERY === 0 ? KEEP_MS * 3 : KEEP_MS,
      addresses: [],
      askedAt: Number.NEGATIVE_INFINITY,
    }));
    owner.after(() => {
      this.stop();
      this.#callers.forEach(({ agent }) => agent.destroy());
    });
  }

  start(): void {
    this.#options.routes.forEach((route) => {
      const schedule = (): void => {
        const pauseMs = (-Math.log(1 - this.#options.fraction()) * 1_000) / route.rate;
        const timer = setTimeout(() => {
          schedule();
          this.#request(route);
        }, pauseMs);
        this.#timers.set(route, timer);
      };
      schedule();
    });
  }

  /** Sends nothing new; what is under way goes on. */
  stop(): void {
    this.#stopped = true;
    this.#timers.forEach((timer) => clearTimeout(timer));
  }

  async #request(route: CallerRoute): Promise<void> {
    const caller = this.#pick(this.#callers);
    if (caller === undefined) return;
    await this.#refreshAddresses(caller);
    const until = performance.now() + route.deadlineMs;
    const first = await this.#attempt(caller, route, until, false);
    if (first === undefined || first.left || !mayRepeat(route.kind, first)) return;
    const leftMs = until - performance.now();
    await wait(Math.min(first.retryAfterMs ?? DEFAULT_PAUSE_MS, leftMs * LONGEST_PAUSE_SHARE));
    if (performance.now() < until) await this.#attempt(caller, route, until, true);
  }

  #pick<T>(values: readonly T[]): T | undefined {
    return values[Math.floor(this.#options.fraction() * values.length)];
  }

  async #refreshAddresses(caller: Caller): Promise<void> {
    const state = caller;
    const now = performance.now();
    if (now - state.askedAt < state.keepMs && state.addresses.length > 0) return;
    state.askedAt = now;
    const directories = [...this.#options.directories()].sort(() => this.#options.fraction() - 0.5);
    for (const directory of directories.slice(0, 3)) {
      const found = await askForAddresses(directory);
      if (found.length > 0) {
        state.addresses = found;
        return;
      }
    }
  }

  #attempt(
    caller: Caller,
    route: CallerRoute,
    until: number,
    fresh: boolean,
  ): Promise<CallerEnd | undefined> {
    const gateway = this.#pick(caller.addresses);
    if (gateway === undefined || this.#stopped) return Promise.resolve(undefined);
    this.#sent += 1;
    const id = `soak-${this.#sent}`;
    const sentAt = performance.now();
    const remainingMs = Math.max(1, Math.round(until - sentAt));
    const body = route.kind === 'unsafe' ? `record ${id}` : '';
    const method = route.kind === 'safe' ? 'GET' : 'POST';
    const path = `${route.path}${id}`;
    const leaves = this.#options.fraction() < LEAVING_SHARE;
    this.#options.onSend({
      id,
      gateway,
      kind: route.kind,
      method,
      path,
      body,
      key: route.key,
      tokens: route.tokens,
      deadlineMs: remainingMs,
      at: sentAt,
    });
    const { agent } = caller;
    const [host, port] = this.#options.through(gateway).split(':');
    return new Promise((resolve) => {
      let over = false;
      let left = false;
      const end = (status: number, complete: boolean, text: string, retryAfterMs?: number) => {
        if (over) return;
        over = true;
        const result: CallerEnd = {
          id,
          status,
          complete,
          body: text,
          left,
          retryAfterMs,
          at: performance.now(),
        };
        this.#options.onEnd(result);
        resolve(result);
      };
      const request = http.request({
        host,
        port,
        path,
        method,
        agent: fresh ? false : agent,
        headers: {
          host: SOAK_HOST,
          'x-corianderwick-request-id': id,
          'x-corianderwick-key': route.key,
          'x-corianderwick-deadline-ms': String(remainingMs),
          // What only the system may set.
          'x-corianderwick-tenant': 'someone-else',
          'x-corianderwick-pin-ms': '5000',
          ...(route.tokens && { 'x-corianderwick-token-count': route.tokens.join(',') }),
          ...(body !== '' && { 'content-length': String(Buffer.byteLength(body)) }),
        },
      });
      const leave = (): void => {
        left = !over;
        request.destroy();
        end(0, false, '');
      };
      const timer = setTimeout(leave, leaves ? LEAVES_AFTER_MS : remainingMs);
      request.on('error', () => end(0, false, ''));
      request.on('close', () => clearTimeout(timer));
      request.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => {});
        response.on('close', () => {
          const after = response.headers['retry-after'];
          end(
            response.statusCode ?? 0,
            response.complete,
            Buffer.concat(chunks).toString(),
            after === undefined ? undefined : Number(after) * 1_000,
          );
        });
      });
      request.end(body);
    });
  }
}
