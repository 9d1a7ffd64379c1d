import type { IncomingMessage, ServerResponse } from 'node:http';
import { listen, readBody, sleep } from '../listen.ts';

/** What goes wrong at a plain service; all of it can be changed while it runs. */
export interface ServiceFaults {
  slowMs: number;
  /** The next so many requests are done, but their connections are cut halfway through the answer. */
  cutNext: number;
  /** The next so many requests are done, but never answered. */
  silentNext: number;
  /** Every so manieth request fails with 500; 0 for none. */
  failEvery: number;
  /** No new connection is taken. */
  refuse: boolean;
}

/** How to start the stand-in. */
export interface ServiceOptions {
  readonly port?: number;
  /** Time that each call takes. */
  readonly workMs?: number;
  readonly networkDelayMs?: number;
  readonly faults?: Partial<ServiceFaults>;
}

/** What the stand-in has seen. */
export interface ServiceStats {
  readonly requests: number;
  readonly completed: number;
  /** Ids that arrived more than once. */
  readonly doubled: readonly string[];
  readonly lastRequestAt: number;
}

/** A running stand-in of a plain service. */
export interface FakeService {
  readonly address: string;
  readonly close: () => Promise<void>;
  readonly setFaults: (faults: Partial<ServiceFaults>) => void;
  readonly stats: () => ServiceStats;
  /** How often a request id arrived. */
  readonly arrivals: (id: string) => number;
}

/**
 * Starts a stand-in of a plain service: it answers each call with what it was sent.
 *
 * @param options - port, times and first faults
 * @returns the running stand-in
 */
export const startService = async (options: ServiceOptions = {}): Promise<FakeService> => {
  const faults: ServiceFaults = {
    slowMs: 0,
    cutNext: 0,
    silentNext: 0,
    failEvery: 0,
    refuse: false,
    ...options.faults,
  };
  const arrivals = new Map<string, number>();
  const stats = { requests: 0, completed: 0, lastRequestAt: 0 };

  const answer = (request: IncomingMessage, response: ServerResponse, id: string, body: string) => {
    const text = JSON.stringify({ id, method: request.method, path: request.url, body });
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      'x-request-id': id,
    };
    if (faults.cutNext > 0) {
      faults.cutNext -= 1;
      response.writeHead(200, headers);
      response.write(text.slice(0, text.length / 2), () => response.destroy());
    } else if (faults.failEvery > 0 && stats.requests % faults.failEvery === 0) {
      response.writeHead(500, { 'x-request-id': id, 'content-length': 0 });
      response.end();
    } else {
      stats.completed += 1;
      response.writeHead(200, headers);
      response.end(text);
    }
  };

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readBody(request);
    await sleep(options.networkDelayMs ?? 0);
    const id = String(request.headers['x-request-id'] ?? '');
    arrivals.set(id, (arrivals.get(id) ?? 0) + 1);
    stats.requests += 1;
    stats.lastRequestAt = Date.now();
    await sleep((options.workMs ?? 0) + faults.slowMs + (options.networkDelayMs ?? 0));
    if (faults.silentNext > 0) faults.silentNext -= 1;
    else answer(request, response, id, body);
  };

  const listener = await listen(handle, options.port);
  listener.server.on('connection', (socket) => {
    if (faults.refuse) socket.destroy();
  });
  return {
    address: listener.address,
    close: listener.close,
    setFaults: (change) => {
      Object.assign(faults, change);
    },
    stats: () => ({
      ...stats,
      doubled: [...arrivals].filter(([, count]) => count > 1).map(([id]) => id),
    }),
    arrivals: (id) => arrivals.get(id) ?? 0,
  };
};
