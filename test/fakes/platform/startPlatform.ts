import type { IncomingMessage, ServerResponse } from 'node:http';
import { listen, readBody, sendJson, sleep } from '../listen.ts';
import { Budget } from './Budget.ts';

const GROUP = 'corianderwick.dev/v1';
const PATH = /^\/apis\/corianderwick\.dev\/v1\/namespaces\/([^/]+)\/([^/]+)(?:\/([^/]+))?$/;
const BOOKMARK_INTERVAL_MS = 500;
const KEPT_EVENTS = 2_000;
const MAXIMUM_VALUE_BYTES = 1024 * 1024;

/** What goes wrong at the object API; all of it can be changed while it runs. */
export interface PlatformFaults {
  /** Every call is answered 503 and watches break. */
  away: boolean;
  /** Calls are not answered at all and watches go silent. */
  silent: boolean;
  slowMs: number;
  /** The next so many writes take effect, but their answers are lost. */
  loseAnswerAfterWrite: number;
  /** After so many further writes the store goes away; negative for never. */
  awayAfterWrites: number;
  /** Calls beyond these are answered 429; 0 for no limit. */
  readsPerSecond: number;
  writesPerSecond: number;
}

/** Calls seen since the start, a waiting watch counted as one. */
export interface PlatformCounts {
  reads: number;
  writes: number;
  conflicts: number;
  watches: number;
  openWatches: number;
  refused: number;
}

/** An object as the API shows it. */
export interface PlatformObject {
  readonly apiVersion: string;
  readonly kind: string;
  readonly metadata: {
    readonly name: string;
    readonly namespace: string;
    readonly resourceVersion: string;
  };
  readonly spec: unknown;
}

/** How to start the stand-in. */
export interface PlatformOptions {
  readonly port?: number;
  readonly token?: string;
  readonly faults?: Partial<PlatformFaults>;
}

/** A running stand-in of the platform's object API. */
export interface FakePlatform {
  readonly address: string;
  readonly close: () => Promise<void>;
  /** Writes an object past all faults and limits. */
  readonly put: (kind: string, name: string, spec: unknown, namespace?: string) => PlatformObject;
  readonly remove: (kind: string, name: string, namespace?: string) => void;
  readonly get: (kind: string, name: string, namespace?: string) => PlatformObject | undefined;
  readonly faults: PlatformFaults;
  readonly setFaults: (faults: Partial<PlatformFaults>) => void;
  readonly counts: () => PlatformCounts;
  /** Every change so far, oldest first, as far as it is kept. */
  readonly history: () => readonly StoredEvent[];
}

/** One change of the store. */
export interface StoredEvent {
  readonly version: number;
  readonly collection: string;
  readonly type: 'ADDED' | 'MODIFIED' | 'DELETED';
  readonly object: PlatformObject;
}

interface Watch {
  readonly collection: string;
  readonly response: ServerResponse;
}

interface Target {
  readonly namespace: string;
  readonly kind: string;
  readonly name: string | undefined;
}

const failure = (response: ServerResponse, code: number, reason: string): void =>
  sendJson(response, code, { apiVersion: 'v1', kind: 'Status', status: 'Failure', code, reason });

const parseObject = (
  body: string,
):
  | {
      readonly metadata?: { readonly name?: string; readonly resourceVersion?: string };
      readonly spec?: unknown;
    }
  | undefined => {
  try {
    return JSON.parse(body);
  } catch {
    return undefined;
  }
};

/** The store and its API. */
class PlatformServer {
  readonly faults: PlatformFaults;

  readonly counts: PlatformCounts = {
    reads: 0,
    writes: 0,
    conflicts: 0,
    watches: 0,
    openWatches: 0,
    refused: 0,
  };

  readonly events: StoredEvent[] = [];

  private version = 1;

  private readonly objects = new Map<string, PlatformObject>();

  private readonly watches = new Set<Watch>();

  private readonly reads = new Budget();

  private readonly writes = new Budget();

  constructor(private readonly options: PlatformOptions) {
    this.faults = {
      away: false,
      silent: false,
      slowMs: 0,
      loseAnswerAfterWrite: 0,
      awayAfterWrites: -1,
      readsPerSecond: 0,
      writesPerSecond: 0,
      ...options.faults,
    };
  }

  setFaults(faults: Partial<PlatformFaults>): void {
    Object.assign(this.faults, faults);
    if (this.faults.away) this.breakWatches();
  }

  write(target: Target & { name: string }, spec: unknown): PlatformObject {
    const collection = `${target.namespace}/${target.kind}`;
    const key = `${collection}/${target.name}`;
    const known = this.objects.has(key);
    this.version += 1;
    const object: PlatformObject = {
      apiVersion: GROUP,
      kind: target.kind,
      metadata: {
        name: target.name,
        namespace: target.namespace,
        resourceVersion: String(this.version),
      },
      spec,
    };
    this.objects.set(key, object);
    this.publish({
      version: this.version,
      collection,
      type: known ? 'MODIFIED' : 'ADDED',
      object,
    });
    return object;
  }

  remove(namespace: string, kind: string, name: string): void {
    const key = `${namespace}/${kind}/${name}`;
    const object = this.objects.get(key);
    if (object === undefined) return;
    this.objects.delete(key);
    this.version += 1;
    const metadata = { ...object.metadata, resourceVersion: String(this.version) };
    this.publish({
      version: this.version,
      collection: `${namespace}/${kind}`,
      type: 'DELETED',
      object: { ...object, metadata },
    });
  }

  get(namespace: string, kind: string, name: string): PlatformObject | undefined {
    return this.objects.get(`${namespace}/${kind}/${name}`);
  }

  bookmark(): void {
    if (this.faults.silent) return;
    this.watches.forEach(({ response }) => {
      const metadata = { resourceVersion: String(this.version) };
      response.write(`${JSON.stringify({ type: 'BOOKMARK', object: { metadata } })}\n`);
    });
  }

  breakWatches(): void {
    this.watches.forEach(({ response }) => response.destroy());
    this.watches.clear();
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://platform');
    const body = await readBody(request);
    if (this.faults.silent) return;
    if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
    const match = PATH.exec(url.pathname);
    if (this.faults.away) this.refuse(response, 503, 'ServiceUnavailable');
    else if (!this.authorized(request)) failure(response, 401, 'Unauthorized');
    else if (match === null) failure(response, 404, 'NotFound');
    else {
      const [, namespace = '', kind = '', name] = match;
      this.dispatch(request.method ?? 'GET', { namespace, kind, name }, url, body, response);
    }
  }

  private authorized(request: IncomingMessage): boolean {
    const { token } = this.options;
    return token === undefined || request.headers.authorization === `Bearer ${token}`;
  }

  private refuse(response: ServerResponse, status: number, reason: string): void {
    this.counts.refused += 1;
    failure(response, status, reason);
  }

  private dispatch(
    method: string,
    target: Target,
    url: URL,
    body: string,
    response: ServerResponse,
  ): void {
    const now = Date.now();
    if (method === 'GET') {
      this.counts.reads += 1;
      if (!this.reads.take(this.faults.readsPerSecond, now)) {
        this.refuse(response, 429, 'TooManyRequests');
      } else this.read(target, url, response);
    } else if (method === 'POST' || method === 'PUT') {
      this.counts.writes += 1;
      if (!this.writes.take(this.faults.writesPerSecond, now)) {
        this.refuse(response, 429, 'TooManyRequests');
      } else this.change(method, target, body, response);
    } else failure(response, 405, 'MethodNotAllowed');
  }

  private read({ namespace, kind, name }: Target, url: URL, response: ServerResponse): void {
    if (name !== undefined) {
      const object = this.get(namespace, kind, name);
      if (object === undefined) failure(response, 404, 'NotFound');
      else sendJson(response, 200, object);
      return;
    }
    const collection = `${namespace}/${kind}`;
    if (url.searchParams.get('watch') === 'true') {
      this.watch(collection, Number(url.searchParams.get('resourceVersion') ?? 0), response);
      return;
    }
    const items = [...this.objects]
      .filter(([key]) => key.startsWith(`${collection}/`))
      .map(([, object]) => object);
    const metadata = { resourceVersion: String(this.version) };
    sendJson(response, 200, { apiVersion: GROUP, kind: `${kind}List`, metadata, items });
  }

  private watch(collection: string, since: number, response: ServerResponse): void {
    this.counts.watches += 1;
    response.writeHead(200, { 'content-type': 'application/json' });
    const oldest = this.events[0]?.version ?? 0;
    if (this.events.length === KEPT_EVENTS && since < oldest - 1) {
      response.end(`${JSON.stringify({ type: 'ERROR', object: { code: 410 } })}\n`);
      return;
    }
    response.flushHeaders();
    this.events
      .filter((event) => event.collection === collection && event.version > since)
      .forEach(({ type, object }) => response.write(`${JSON.stringify({ type, object })}\n`));
    const watch = { collection, response };
    this.watches.add(watch);
    this.counts.openWatches = this.watches.size;
    response.on('close', () => {
      this.watches.delete(watch);
      this.counts.openWatches = this.watches.size;
    });
  }

  private change(method: string, target: Target, body: string, response: ServerResponse): void {
    if (Buffer.byteLength(body) > MAXIMUM_VALUE_BYTES) {
      failure(response, 413, 'RequestEntityTooLarge');
      return;
    }
    const object = parseObject(body);
    const name = target.name ?? object?.metadata?.name;
    if (object === undefined || name === undefined) {
      failure(response, 422, 'Invalid');
      return;
    }
    const current = this.get(target.namespace, target.kind, name);
    const allowed =
      method === 'POST'
        ? current === undefined
        : current !== undefined &&
          current.metadata.resourceVersion === object.metadata?.resourceVersion;
    if (!allowed) {
      this.counts.conflicts += 1;
      failure(response, method === 'PUT' && current === undefined ? 404 : 409, 'Conflict');
      return;
    }
    this.answerWrite(method, this.write({ ...target, name }, object.spec), response);
  }

  private answerWrite(method: string, written: PlatformObject, response: ServerResponse): void {
    const { faults } = this;
    if (faults.awayAfterWrites > 0) faults.awayAfterWrites -= 1;
    if (faults.loseAnswerAfterWrite > 0) {
      faults.loseAnswerAfterWrite -= 1;
      response.destroy();
    } else sendJson(response, method === 'POST' ? 201 : 200, written);
    if (faults.awayAfterWrites === 0) {
      // The event of the last write is lost with the watches: it may have reached some of them.
      this.setFaults({ awayAfterWrites: -1, away: true });
    }
  }

  private publish(event: StoredEvent): void {
    this.events.push(event);
    if (this.events.length > KEPT_EVENTS) this.events.shift();
    if (this.faults.silent) return;
    const line = `${JSON.stringify({ type: event.type, object: event.object })}\n`;
    this.watches.forEach((watch) => {
      if (watch.collection === event.collection) this.tell(watch, line);
    });
  }

  private tell({ response }: Watch, line: string): void {
    if (this.faults.slowMs === 0) response.write(line);
    else setTimeout(() => response.write(line), this.faults.slowMs);
  }
}

/**
 * Starts a stand-in of the platform's object API.
 *
 * @param options - port, token and first faults
 * @returns the running stand-in
 */
export const startPlatform = async (options: PlatformOptions = {}): Promise<FakePlatform> => {
  const platform = new PlatformServer(options);
  const listener = await listen((request, response) => {
    platform.handle(request, response);
  }, options.port);
  const bookmarks = setInterval(() => platform.bookmark(), BOOKMARK_INTERVAL_MS);
  return {
    address: listener.address,
    close: () => {
      clearInterval(bookmarks);
      return listener.close();
    },
    put: (kind, name, spec, namespace = 'default') =>
      platform.write({ namespace, kind, name }, spec),
    remove: (kind, name, namespace = 'default') => platform.remove(namespace, kind, name),
    get: (kind, name, namespace = 'default') => platform.get(namespace, kind, name),
    faults: platform.faults,
    setFaults: (faults) => platform.setFaults(faults),
    counts: () => ({ ...platform.counts }),
    history: () => platform.events,
  };
};
