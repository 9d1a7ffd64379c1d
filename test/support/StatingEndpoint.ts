import * as http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import type { ObjectStoreStandIn } from '../gateway/startObjectStore.ts';
import type { Owner } from './Owner.ts';

/** What an endpoint is made of. */
export interface StatingEndpointOptions {
  readonly name: string;
  readonly service: string;
  /** Whether it answers with a stream of events. */
  readonly streams: boolean;
  readonly store: ObjectStoreStandIn;
  /** Header lines with which it states something of itself in an answer with this status. */
  readonly statements: (status: number) => http.OutgoingHttpHeaders;
  /** Requests that run at a time; 8 unless given. */
  readonly slots?: number;
  /** Time that a run takes before its answer, in ms. */
  readonly runMs?: number;
  /** Requests that may wait for a slot; it rejects those beyond. */
  readonly room?: () => number;
  /** Whether it rejects requests though it has room. */
  readonly sheds?: () => boolean;
  /** Rejections within a second beyond which it falls over; undefined if it never does. */
  readonly breaksAbove?: () => number | undefined;
  readonly onArrival?: (requestId: string, at: number) => void;
  readonly onRun?: (requestId: string, at: number) => void;
  /** Told of each answer that it begins. */
  readonly onAnswer?: (requestId: string, at: number, status: number) => void;
  readonly onFall?: (at: number) => void;
}

const DEFAULT_SLOTS = 8;
const PLAIN_MS = 15;
const PREFILL_MS = 40;
const EVENT_MS = 20;
/** Events of a complete stream. */
export const STATING_EVENTS = 4;
const FALL_MS = 2_500;
const SECOND_MS = 1_000;
const CHECK_MS = 5;
const OK = 200;
const UNAVAILABLE = 503;

/** An endpoint that states in its answers what it asks of its callers, and can fall over or fall silent. */
export class StatingEndpoint {
  readonly #options: StatingEndpointOptions;

  readonly #sockets = new Set<Socket>();

  #server: http.Server | undefined;

  #port = 0;

  #starts = 0;

  #running = 0;

  #waiting = 0;

  #rejectedAt: number[] = [];

  #silentUntil = 0;

  #closed = false;

  private constructor(options: StatingEndpointOptions) {
    this.#options = options;
  }

  /** Starts an endpoint on a free port, which it keeps, and lists it in the store. */
  static async start(owner: Owner, options: StatingEndpointOptions): Promise<StatingEndpoint> {
    const endpoint = new StatingEndpoint(options);
    owner.after(() => {
      endpoint.#closed = true;
      endpoint.#stop();
    });
    await endpoint.#listen();
    return endpoint;
  }

  /** Ends all its runs, and starts again a while later under a new id. */
  fall(): void {
    const id = this.#id;
    this.#options.onFall?.(performance.now());
    this.#stop();
    setTimeout(() => {
      this.#options.store.remove('servers', id);
      if (!this.#closed) this.#listen().catch(() => {});
    }, FALL_MS);
  }

  /** Goes on as another start at the same address. */
  startAgain(): void {
    this.#options.store.remove('servers', this.#id);
    this.#starts += 1;
    this.#register();
  }

  /** Says nothing for a time in ms, and then goes on. */
  fallSilent(forMs: number): void {
    this.#silentUntil = performance.now() + forMs;
  }

  get #slots(): number {
    return this.#options.slots ?? DEFAULT_SLOTS;
  }

  get #id(): string {
    return `${this.#options.name}-${this.#starts}`;
  }

  async #listen(): Promise<void> {
    this.#starts += 1;
    this.#running = 0;
    this.#waiting = 0;
    this.#rejectedAt = [];
    const server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => this.#sockets.delete(socket));
    });
    this.#server = server;
    await new Promise<void>((resolve) => {
      server.listen(this.#port, '127.0.0.1', resolve);
    });
    this.#port = (server.address() as AddressInfo).port;
    this.#register();
  }

  #register(): void {
    this.#options.store.put('servers', this.#id, {
      service: this.#options.service,
      address: `127.0.0.1:${this.#port}`,
      zone: 'a',
      version: 'v1',
      slots: this.#slots,
      state: 'ready',
      cold_remaining_ms: 0,
      seq: 1,
      born: this.#starts,
    });
  }

  #stop(): void {
    this.#server?.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    this.#server = undefined;
  }

  async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const server = this.#server;
    const { onArrival, onRun, streams, room, runMs, sheds } = this.#options;
    const requestId = String(request.headers['x-corianderwick-request-id'] ?? '');
    request.resume();
    onArrival?.(requestId, performance.now());
    const isFull = this.#running >= this.#slots && this.#waiting >= (room?.() ?? 0);
    if (isFull || sheds?.() === true) {
      this.#reject(requestId, response);
      return;
    }
    this.#waiting += 1;
    while (this.#running >= this.#slots && !response.destroyed) await wait(CHECK_MS);
    if (server !== this.#server) return;
    this.#waiting -= 1;
    this.#running += 1;
    onRun?.(requestId, performance.now());
    try {
      await this.#pause(runMs ?? (streams ? PREFILL_MS : PLAIN_MS));
      if (streams) await this.#stream(requestId, request, response);
      else {
        this.#begin(requestId, response, OK, { 'Content-Length': requestId.length });
        response.end(requestId);
      }
    } finally {
      if (server === this.#server) this.#running -= 1;
    }
  }

  async #stream(
    requestId: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.#begin(requestId, response, OK, { 'Content-Type': 'text/event-stream' });
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let number = first; number <= STATING_EVENTS && !response.destroyed; number += 1) {
      response.write(`id: ${number}\ndata: ${number}\n\n`);
      await this.#pause(EVENT_MS);
    }
    response.end();
  }

  #begin(
    requestId: string,
    response: http.ServerResponse,
    status: number,
    headers: http.OutgoingHttpHeaders,
  ): void {
    const { onAnswer, statements } = this.#options;
    onAnswer?.(requestId, performance.now(), status);
    response.writeHead(status, {
      'X-Corianderwick-Request-Id': requestId,
      ...(status === OK && { 'X-Corianderwick-Server-Stamp': this.#id }),
      ...headers,
      ...statements(status),
    });
  }

  #reject(requestId: string, response: http.ServerResponse): void {
    this.#begin(requestId, response, UNAVAILABLE, {
      'X-Corianderwick-Not-Executed': '1',
      'Content-Length': 0,
    });
    response.end();
    const now = performance.now();
    this.#rejectedAt = [...this.#rejectedAt.filter((at) => now - at < SECOND_MS), now];
    const most = this.#options.breaksAbove?.();
    if (most !== undefined && this.#rejectedAt.length > most) this.fall();
  }

  async #pause(ms: number): Promise<void> {
    await wait(ms);
    const silentMs = this.#silentUntil - performance.now();
    if (silentMs > 0) await wait(silentMs);
  }
}
