import * as http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { ObjectStoreStandIn } from '../gateway/startObjectStore.ts';
import type { Owner } from '../support/Owner.ts';

/** A request as it reached an endpoint. */
export interface EndpointArrival {
  readonly requestId: string;
  readonly at: number;
  /** Whether it began to run; otherwise the endpoint was full and said that it didn't. */
  readonly runs: boolean;
}

/** A request as an endpoint reads it. */
export interface EndpointRequest {
  readonly path: string;
  readonly promptParts: readonly string[];
  readonly body: string;
}

/** What an endpoint is made of. */
export interface CrashingEndpointOptions {
  /** Names the endpoint; each of its starts has an id of its own. */
  readonly name: string;
  readonly service: string;
  readonly store: ObjectStoreStandIn;
  /** Whether it answers with a stream of events, otherwise with a body of known length. */
  readonly streams: boolean;
  /** Whether it crashes as it begins to answer. */
  readonly isFatal: (request: EndpointRequest) => boolean;
  /** Time from a crash to the next start. */
  readonly downMs: number;
  /** Share of its answers that it breaks off inside an event, by a clean end of the connection. */
  readonly tornShare: number;
  /** A number from 0 up to 1. */
  readonly fraction: () => number;
  readonly onArrival: (arrival: EndpointArrival) => void;
  /** Told the request under which it crashed; undefined if it crashed by itself. */
  readonly onCrash: (at: number, request: EndpointRequest | undefined) => void;
}

const SLOTS = 6;
const PREFILL_MS = 60;
const PLAIN_MS = 20;
const EVENT_MS = 25;
/** Events of a complete answer. */
export const EVENTS = 8;
const TORN_AFTER = 3;
/** Time from the first event of an answer to the crash. */
const CRASH_DELAY_MS = 40;
/** Time until the platform removes the entry of an endpoint that has fallen silent. */
const ENTRY_LAPSE_MS = 3_600;

const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const readRequest = async (request: http.IncomingMessage): Promise<EndpointRequest> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return {
    path: request.url ?? '',
    promptParts: String(request.headers['x-corianderwick-prompt-prefix'] ?? '')
      .split(',')
      .slice(0, -1)
      .map((entry) => entry.split(':')[0] ?? ''),
    body: Buffer.concat(chunks).toString(),
  };
};

/** An endpoint that crashes under certain requests, and starts again under a new id. */
export class CrashingEndpoint {
  readonly #options: CrashingEndpointOptions;

  #server: http.Server | undefined;

  readonly #sockets = new Set<Socket>();

  #port = 0;

  #starts = 0;

  #running = 0;

  #closed = false;

  private constructor(options: CrashingEndpointOptions) {
    this.#options = options;
  }

  /** Starts an endpoint on a free port, which it keeps. */
  static async start(owner: Owner, options: CrashingEndpointOptions): Promise<CrashingEndpoint> {
    const endpoint = new CrashingEndpoint(options);
    owner.after(() => {
      endpoint.#closed = true;
      endpoint.#stop();
    });
    await endpoint.#listen();
    return endpoint;
  }

  /** Closes its port and resets all its connections. */
  crash(request?: EndpointRequest): void {
    const id = this.#id;
    this.#stop();
    this.#options.onCrash(performance.now(), request);
    setTimeout(() => this.#options.store.remove('servers', id), ENTRY_LAPSE_MS);
    setTimeout(() => {
      if (!this.#closed) this.#listen().catch(() => {});
    }, this.#options.downMs);
  }

  get #id(): string {
    return `${this.#options.name}-${this.#starts}`;
  }

  async #listen(): Promise<void> {
    this.#starts += 1;
    this.#running = 0;
    const server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    this.#server = server;
    await new Promise<void>((resolve) => {
      server.listen(this.#port, '127.0.0.1', resolve);
    });
    this.#port = (server.address() as AddressInfo).port;
    this.#options.store.put('servers', this.#id, {
      service: this.#options.service,
      address: `127.0.0.1:${this.#port}`,
      zone: 'a',
      version: 'v1',
      slots: SLOTS,
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
    const requestId = String(request.headers['x-corianderwick-request-id'] ?? '');
    const isFull = this.#running >= SLOTS;
    this.#options.onArrival({ requestId, at: performance.now(), runs: !isFull });
    if (isFull) {
      response.writeHead(503, { 'X-Corianderwick-Not-Executed': '1', 'Content-Length': 0 });
      response.end();
      return;
    }
    this.#running += 1;
    const content = await readRequest(request);
    await wait(this.#options.streams ? PREFILL_MS : PLAIN_MS);
    if (!this.#options.streams) {
      if (this.#options.isFatal(content)) {
        if (this.#server === server) this.crash(content);
        return;
      }
      response.writeHead(200, {
        'X-Corianderwick-Request-Id': requestId,
        'X-Corianderwick-Server-Stamp': this.#id,
        'Content-Length': 2,
      });
      response.end('ok');
      if (this.#server === server) this.#running -= 1;
      return;
    }
    // Without a length or chunks, so that the end of the connection is the end of the answer.
    Object.assign(response, { useChunkedEncodingByDefault: false });
    response.writeHead(200, {
      'X-Corianderwick-Request-Id': requestId,
      'X-Corianderwick-Server-Stamp': this.#id,
      'Content-Type': 'text/event-stream',
    });
    if (this.#options.isFatal(content)) {
      response.flushHeaders();
      await wait(CRASH_DELAY_MS);
      if (this.#server === server) this.crash(content);
      return;
    }
    const tornAt = this.#options.fraction() < this.#options.tornShare ? TORN_AFTER : EVENTS;
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let number = first; number <= EVENTS && !response.destroyed; number += 1) {
      response.write(`id: ${number}\ndata: ${number}\n\n`);
      await wait(EVENT_MS);
      if (number === tornAt && tornAt < EVENTS) response.socket?.end(`id: ${number + 1}\ndata`);
    }
    response.end();
    if (this.#server === server) this.#running -= 1;
  }
}
