import * as http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import type { ObjectStoreStandIn } from '../gateway/startObjectStore.ts';
import type { Owner } from '../support/Owner.ts';

/** What an endpoint is made of. */
export interface LimitingEndpointOptions {
  readonly name: string;
  readonly service: string;
  /** Whether it answers with a stream of events. */
  readonly streams: boolean;
  readonly store: ObjectStoreStandIn;
  /** Values of the header lines by which it states its limit now; none if it states no limit. */
  readonly statedLimits: () => readonly string[];
  readonly onArrival: (requestId: string, at: number) => void;
  /** Told of each answer that states a limit. */
  readonly onStated: (requestId: string, at: number) => void;
}

const SLOTS = 8;
const PLAIN_MS = 15;
const PREFILL_MS = 40;
const EVENT_MS = 20;
const EVENTS = 4;

/** An endpoint that states in its answers how many requests a second it accepts from all gateways. */
export class LimitingEndpoint {
  readonly #options: LimitingEndpointOptions;

  readonly #sockets = new Set<Socket>();

  #running = 0;

  private constructor(options: LimitingEndpointOptions) {
    this.#options = options;
  }

  /** Starts an endpoint on a free port and lists it in the store. */
  static async start(owner: Owner, options: LimitingEndpointOptions): Promise<LimitingEndpoint> {
    const endpoint = new LimitingEndpoint(options);
    const server = http.createServer((request, response) => {
      endpoint.#serve(request, response).catch(() => response.destroy());
    });
    server.on('connection', (socket) => {
      endpoint.#sockets.add(socket);
      socket.once('close', () => endpoint.#sockets.delete(socket));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    owner.after(() => {
      server.close();
      endpoint.#sockets.forEach((socket) => socket.destroy());
    });
    options.store.put('servers', options.name, {
      service: options.service,
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      zone: 'a',
      version: 'v1',
      slots: SLOTS,
      state: 'ready',
      cold_remaining_ms: 0,
      seq: 1,
      born: 1,
    });
    return endpoint;
  }

  async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { name, streams, statedLimits, onArrival, onStated } = this.#options;
    const requestId = String(request.headers['x-corianderwick-request-id'] ?? '');
    request.resume();
    onArrival(requestId, performance.now());
    const begin = (status: number, headers: http.OutgoingHttpHeaders): void => {
      const limits = statedLimits();
      if (limits.length > 0) onStated(requestId, performance.now());
      response.writeHead(status, {
        'X-Corianderwick-Request-Id': requestId,
        ...headers,
        ...(limits.length > 0 && { 'Server-Limit': [...limits] }),
      });
    };
    if (this.#running >= SLOTS) {
      begin(503, { 'X-Corianderwick-Not-Executed': '1', 'Content-Length': 0 });
      response.end();
      return;
    }
    this.#running += 1;
    try {
      await wait(streams ? PREFILL_MS : PLAIN_MS);
      if (!streams) {
        begin(200, { 'X-Corianderwick-Server-Stamp': name, 'Content-Length': 2 });
        response.end('ok');
        return;
      }
      begin(200, { 'X-Corianderwick-Server-Stamp': name, 'Content-Type': 'text/event-stream' });
      for (let number = 1; number <= EVENTS && !response.destroyed; number += 1) {
        response.write(`id: ${number}\ndata: ${number}\n\n`);
        await wait(EVENT_MS);
      }
      response.end();
    } finally {
      this.#running -= 1;
    }
  }
}
