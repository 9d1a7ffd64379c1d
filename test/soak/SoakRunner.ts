import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Owner } from '../support/Owner.ts';
import { resetSocket } from './resetSocket.ts';

/** What a runner does wrong. */
export type RunnerHarm = 'fails' | 'garbles' | 'truncates' | 'losesAnswers' | 'slow';

/** A request as it reached a runner. */
export interface RunnerArrival {
  readonly requestId: string;
  readonly runner: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly at: number;
}

/** What a runner reports while it works. */
export interface RunnerObserver {
  /** Every request, whether it runs or not. */
  readonly onArrival: (arrival: RunnerArrival) => void;
  /** Undefined where it answered that it won't run the request. */
  readonly onRun: (arrival: RunnerArrival) => void;
  /** A run that had begun ends, by itself or because its connection was closed. */
  readonly onRunOver: (arrival: RunnerArrival, at: number) => void;
  /** An answer states a limit to the requests a second. */
  readonly onLimitStated: (arrival: RunnerArrival, requestsPerSecond: number, at: number) => void;
}

/** What a runner is made of. */
export interface SoakRunnerOptions extends RunnerObserver {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  /** A number from 0 up to 1. */
  readonly fraction: () => number;
}

const HEADER = {
  id: 'x-corianderwick-request-id',
  expected: 'x-corianderwick-expect-instance',
  tokens: 'x-corianderwick-token-count',
  stamp: 'X-Corianderwick-Server-Stamp',
  notRun: 'X-Corianderwick-Not-Executed',
} as const;

/** Requests that wait for a slot before more are turned away. */
const QUEUE = 4;
const WORK_MS = 25;
const FIRST_EVENT_MS = 50;
const EVENT_MS = 20;
const TOKENS_PER_EVENT = 5;
const SLOW_FACTOR = 8;
/** Part of its requests that a harmed runner harms. */
const HARMED_SHARE = 0.5;

/** The whole answer of a plain request, by which a caller knows its own. */
export const plainAnswer = (id: string, method: string, path: string, body: string): string =>
  `${id} ${method} ${path} ${body}`;

/** Events of a stream of so many output tokens. */
export const eventsFor = (outputTokens: number): number =>
  Math.max(1, Math.ceil(outputTokens / TOKENS_PER_EVENT));

/** What the event of a stream holds; the last one says so by its number. */
export const eventData = (id: string, number: number, of: number): string =>
  `${id}/${number}/${of}`;

const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const turnAway = (response: http.ServerResponse, status: number): void => {
  response.writeHead(status, { [HEADER.notRun]: '1', 'Content-Length': 0 });
  response.end();
};

/** A runner of the platform with slots and a short queue, which can be harmed. */
export class SoakRunner {
  readonly id: string;

  readonly service: string;

  readonly slots: number;

  readonly #options: SoakRunnerOptions;

  readonly #server: http.Server;

  readonly #waiting: (() => void)[] = [];

  #running = 0;

  #harm: RunnerHarm | undefined;

  #requestsPerSecond: number | undefined;

  private constructor(options: SoakRunnerOptions) {
    this.#options = options;
    this.id = options.id;
    this.service = options.service;
    this.slots = options.slots;
    this.#server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 5_000;
  }

  static async start(owner: Owner, options: SoakRunnerOptions): Promise<SoakRunner> {
    const runner = new SoakRunner(options);
    await new Promise<void>((resolve) => {
      runner.#server.listen(0, '127.0.0.1', resolve);
    });
    owner.after(() => runner.crash());
    return runner;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo | null)?.port ?? 1}`;
  }

  /** Makes it harm a part of its requests, or none. */
  setHarm(harm: RunnerHarm | undefined): void {
    this.#harm = harm;
  }

  /** Makes its answers state a limit to the requests a second, or none. */
  setLimit(requestsPerSecond: number | undefined): void {
    this.#requestsPerSecond = requestsPerSecond;
  }

  /** Ends without a word. */
  crash(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const arrival: RunnerArrival = {
      requestId: String(request.headers[HEADER.id] ?? ''),
      runner: this.id,
      service: this.service,
      method: request.method ?? '',
      path: request.url ?? '',
      body: Buffer.concat(chunks).toString(),
      headers: request.headers,
      at: performance.now(),
    };
    const expected = request.headers[HEADER.expected];
    if (expected !== undefined && expected !== this.id) {
      turnAway(response, 421);
      return;
    }
    this.#options.onArrival(arrival);
    let left = false;
    response.once('close', () => {
      left = true;
    });
    const hasSlot = await this.#takeSlot();
    if (!hasSlot || left) {
      if (hasSlot) this.#freeSlot();
      if (!left) turnAway(response, 503);
      return;
    }
    this.#options.onRun(arrival);
    try {
      await this.#work(arrival, response, () => left);
    } finally {
      this.#freeSlot();
      this.#options.onRunOver(arrival, performance.now());
    }
  }

  #stateLimit(arrival: RunnerArrival): http.OutgoingHttpHeaders {
    const rate = this.#requestsPerSecond;
    if (rate === undefined) return {};
    this.#options.onLimitStated(arrival, rate, performance.now());
    return { 'Server-Limit': rate.toFixed(2) };
  }

  #takeSlot(): Promise<boolean> {
    if (this.#running < this.slots) {
      this.#running += 1;
      return Promise.resolve(true);
    }
    if (this.#waiting.length >= QUEUE) return Promise.resolve(false);
    return new Promise((resolve) => {
      this.#waiting.push(() => resolve(true));
    });
  }

  #freeSlot(): void {
    const next = this.#waiting.shift();
    if (next === undefined) this.#running -= 1;
    else next();
  }

  async #work(
    arrival: RunnerArrival,
    response: http.ServerResponse,
    hasLeft: () => boolean,
  ): Promise<void> {
    const harm = this.#options.fraction() < HARMED_SHARE ? this.#harm : undefined;
    const pace = harm === 'slow' ? SLOW_FACTOR : 1;
    const tokens = arrival.headers[HEADER.tokens];
    const isStream = tokens !== undefined;
    await wait((isStream ? FIRST_EVENT_MS : WORK_MS) * pace);
    if (hasLeft()) return;
    const { requestId, method, path, body } = arrival;
    const head = {
      'X-Corianderwick-Request-Id': requestId,
      [HEADER.stamp]: this.id,
      ...this.#stateLimit(arrival),
    };
    switch (harm) {
      case 'fails':
        response.writeHead(500, { ...head, 'Content-Length': 0 });
        response.end();
        return;
      case 'losesAnswers':
        if (response.socket !== null) resetSocket(response.socket);
        return;
      case 'garbles':
        response.socket?.write('these bytes are no answer\r\n\r\n');
        response.socket?.end();
        return;
      case 'truncates':
        response.writeHead(200, { ...head, 'Content-Length': 1_000 });
        response.write('cut');
        await wait(EVENT_MS);
        response.socket?.destroy();
        return;
      case 'slow':
      case undefined:
        break;
      default:
        harm satisfies never;
    }
    if (!isStream) {
      const whole = plainAnswer(requestId, method, path, body);
      response.writeHead(200, { ...head, 'Content-Length': Buffer.byteLength(whole) });
      response.end(whole);
      return;
    }
    const events = eventsFor(Number(String(tokens).split(',')[1]));
    const first = Number(arrival.headers['last-event-id'] ?? 0) + 1;
    response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' });
    for (let number = first; number <= events && !hasLeft(); number += 1) {
      response.write(`id: ${number}\ndata: ${eventData(requestId, number, events)}\n\n`);
      await wait(EVENT_MS * pace);
    }
    response.end();
  }
}
