import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Owner } from '../support/Owner.ts';

interface HeldObject {
  readonly metadata: { readonly name: string; readonly revision: number };
  readonly spec: unknown;
  readonly status: unknown;
}

interface HeldEvent {
  readonly kind: string;
  readonly revision: number;
  readonly removed: boolean;
  readonly object: HeldObject;
}

/** How the store answers. */
export type StoreCondition =
  | { readonly _tag: 'sound' }
  /** 503 to everything. */
  | { readonly _tag: 'away' }
  /** No answer to anything. */
  | { readonly _tag: 'silent' }
  | { readonly _tag: 'slow'; readonly ms: number }
  /** Calls are done, and their answers don't arrive. */
  | { readonly _tag: 'losesAnswers' };

/** The users' store, as far as a gateway speaks to it. */
export interface ObjectStoreStandIn {
  readonly address: string;
  readonly put: (kind: string, name: string, spec: unknown) => void;
  /** Puts an object whose spec is some JSON text, which need not be parsed or written by this process. */
  readonly putText: (kind: string, name: string, text: string) => void;
  readonly remove: (kind: string, name: string) => void;
  readonly get: (kind: string, name: string) => HeldObject | undefined;
  /** Answers 503 to everything until it is set to false again. */
  readonly setAway: (away: boolean) => void;
  readonly setCondition: (condition: StoreCondition) => void;
  /** Forgets its history, so that watches from before end with 410. */
  readonly compact: () => void;
  /** Returns what goes back to the present state, as from a copy: revisions are given out again, and the era rises. */
  readonly copy: () => () => void;
  /** Watches that wait. */
  readonly watching: () => number;
  /** Calls so far, as `METHOD path`. */
  readonly calls: readonly string[];
}

const POLL_MS = 5;
const PAGE = 3;

const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const readBody = (request: http.IncomingMessage): Promise<string> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => resolve(Buffer.concat(chunks).toString()));
  });

/** Starts the store on a free port; its owner closes it. */
export const startObjectStore = async (owner: Owner): Promise<ObjectStoreStandIn> => {
  const kinds = new Map<string, Map<string, HeldObject>>();
  const events: HeldEvent[] = [];
  const calls: string[] = [];
  let revision = 10;
  let oldest = 0;
  let era = 1;
  let condition: StoreCondition = { _tag: 'sound' };
  let watching = 0;
  /** Texts of specs, by what stands for them. */
  const texts = new Map<string, string>();
  const stringify = (body: unknown): string =>
    [...texts].reduce(
      (json, [placeholder, text]) => json.replaceAll(`"${placeholder}"`, () => text),
      JSON.stringify(body),
    );

  const isAway = (): boolean => condition._tag === 'away';

  const kindOf = (kind: string): Map<string, HeldObject> => {
    const held = kinds.get(kind) ?? new Map<string, HeldObject>();
    kinds.set(kind, held);
    return held;
  };
  const change = (kind: string, name: string, value: Omit<HeldObject, 'metadata'> | undefined) => {
    revision += 1;
    const held = kindOf(kind);
    const before = held.get(name);
    const content = value ?? { spec: before?.spec, status: before?.status };
    const object = { metadata: { name, revision }, ...content };
    if (value === undefined) held.delete(name);
    else held.set(name, object);
    events.push({ kind, revision, removed: value === undefined, object });
    return object;
  };

  const list = (kind: string, after: string) => {
    const names = [...kindOf(kind).keys()].sort().filter((name) => name > after);
    const items = names.slice(0, PAGE).map((name) => kindOf(kind).get(name));
    return { items, has_more: names.length > PAGE, store_revision: revision };
  };
  const watch = async (kind: string, from: number, waitMs: number) => {
    const until = performance.now() + waitMs;
    const ownEra = era;
    const news = () => events.filter((event) => event.kind === kind && event.revision > from);
    while (
      news().length === 0 &&
      performance.now() < until &&
      from >= oldest &&
      !isAway() &&
      ownEra === era
    ) {
      await wait(POLL_MS);
    }
    return {
      events: news().map(({ removed, object }) => ({ removed, object })),
      store_revision: revision,
    };
  };

  const server = http.createServer((request, response) => {
    const reply = async (status: number, body: unknown): Promise<void> => {
      if (condition._tag === 'silent') return;
      if (condition._tag === 'losesAnswers') {
        response.socket?.destroy();
        return;
      }
      if (condition._tag === 'slow') await wait(condition.ms);
      response.writeHead(status, { 'content-type': 'application/json', 'store-era': era });
      response.end(stringify(body));
    };
    const serve = async (): Promise<void> => {
      const url = new URL(request.url ?? '/', 'http://store');
      const [, , , kind = '', name, part] = url.pathname.split('/');
      calls.push(`${request.method} ${url.pathname}`);
      const body = await readBody(request);
      if (isAway()) return reply(503, { error: 'away' });
      const from = url.searchParams.get('watch');
      if (request.method === 'GET' && from !== null) {
        watching += 1;
        const found = await watch(kind, Number(from), Number(url.searchParams.get('wait_ms')));
        watching -= 1;
        if (isAway()) return reply(503, { error: 'away' });
        const isKnown = Number(from) >= oldest && Number(from) <= revision;
        return isKnown ? reply(200, found) : reply(410, {});
      }
      if (request.method === 'GET')
        return reply(200, list(kind, url.searchParams.get('after') ?? ''));
      const sent = JSON.parse(body);
      const target = name ?? sent.metadata.name;
      const held = kindOf(kind).get(target);
      if (request.method === 'POST') {
        return held ? reply(409, held) : reply(201, change(kind, target, sent));
      }
      if (held === undefined) return reply(404, {});
      if (sent.metadata.revision !== held.metadata.revision) return reply(409, held);
      const next =
        part === 'status'
          ? { spec: held.spec, status: sent.status }
          : { spec: sent.spec, status: held.status };
      return reply(200, change(kind, target, next));
    };
    serve().catch((error: Error) => reply(500, { error: error.message }));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  owner.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return {
    address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    put: (kind, name, spec) => {
      change(kind, name, { spec, status: kindOf(kind).get(name)?.status ?? null });
    },
    putText: (kind, name, text) => {
      const placeholder = `text ${texts.size}`;
      texts.set(placeholder, text);
      change(kind, name, { spec: placeholder, status: null });
    },
    remove: (kind, name) => {
      change(kind, name, undefined);
    },
    get: (kind, name) => kindOf(kind).get(name),
    setAway: (away) => {
      condition = { _tag: away ? 'away' : 'sound' };
    },
    setCondition: (value) => {
      condition = value;
    },
    compact: () => {
      oldest = revision;
    },
    copy: () => {
      const held = new Map([...kinds].map(([kind, objects]) => [kind, new Map(objects)]));
      const [copied, length] = [revision, events.length];
      return () => {
        kinds.clear();
        held.forEach((objects, kind) => kinds.set(kind, new Map(objects)));
        events.length = length;
        revision = copied;
        era += 1;
      };
    },
    watching: () => watching,
    calls,
  };
};
