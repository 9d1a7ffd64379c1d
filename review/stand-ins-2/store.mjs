/* eslint-disable import-x/extensions, import-x/prefer-default-export -- scripts run by Node without a loader */
// The platform's store as PROTOCOL.md describes it, as far as a gateway speaks to it.
import http from 'node:http';
import { listen, readBody } from './sockets.mjs';

const PAGE = 500;
const LONGEST_WAIT_MS = 30_000;
const FIRST_REVISION = 100;

/** Starts the store on a free port. */
export const startStore = async (record) => {
  const kinds = new Map();
  const events = [];
  const waiting = new Set();
  let revision = FIRST_REVISION;

  const kindOf = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };
  const isSame = (before, { spec, status }) =>
    before !== undefined &&
    JSON.stringify([before.spec, before.status]) === JSON.stringify([spec, status]);

  /** Writes an object, or removes it if there is no content. */
  const change = (kind, name, content) => {
    const held = kindOf(kind);
    const before = held.get(name);
    if (content !== undefined && isSame(before, content)) return before;
    revision += 1;
    const object = {
      metadata: {
        name,
        revision,
        created_rev: before?.metadata.created_rev ?? revision,
        finalizers: [],
        deleting: false,
      },
      spec: content?.spec ?? before?.spec ?? null,
      status: content?.status ?? before?.status ?? null,
    };
    if (content === undefined) held.delete(name);
    else held.set(name, object);
    events.push({ kind, revision, removed: content === undefined, object });
    [...waiting].forEach((check) => check());
    return object;
  };

  const watch = (kind, from, waitMs, response, reply) => {
    const news = () => events.filter((event) => event.kind === kind && event.revision > from);
    let timer;
    let check;
    const stop = () => {
      clearTimeout(timer);
      waiting.delete(check);
    };
    const answer = () => {
      stop();
      const changes = news().map(({ removed, object }) => ({ removed, object }));
      reply(200, { events: changes, store_revision: revision });
    };
    check = () => {
      if (news().length > 0) answer();
    };
    timer = setTimeout(answer, Math.min(LONGEST_WAIT_MS, waitMs));
    waiting.add(check);
    response.on('close', stop);
    check();
  };

  const list = (kind, after) => {
    const names = [...kindOf(kind).keys()].sort().filter((name) => name > after);
    return {
      items: names.slice(0, PAGE).map((name) => kindOf(kind).get(name)),
      has_more: names.length > PAGE,
      store_revision: revision,
    };
  };

  const write = (request, { kind, name, part }, sent, reply) => {
    const held = kindOf(kind).get(name ?? sent.metadata.name);
    if (request.method === 'POST') {
      const { spec } = sent;
      if (held === undefined) reply(200, change(kind, sent.metadata.name, { spec, status: null }));
      else reply(409, held);
      return;
    }
    if (held === undefined) {
      reply(404, {});
      return;
    }
    const expected = sent.metadata?.revision;
    if (expected !== undefined && expected !== held.metadata.revision) {
      reply(409, held);
      return;
    }
    if (request.method === 'DELETE') {
      reply(200, change(kind, name, undefined));
      return;
    }
    const { spec, status } = held;
    record({ what: 'store write', kind, name, part, status: sent.status });
    const next = part === 'status' ? { spec, status: sent.status } : { spec: sent.spec, status };
    reply(200, change(kind, name, next));
  };

  const server = http.createServer(async (request, response) => {
    const { pathname, searchParams: query } = new URL(request.url, 'http://store');
    const [, , , kind, name, part] = pathname.split('/').map(decodeURIComponent);
    const body = await readBody(request);
    const reply = (status, content) => {
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(content));
    };
    if (request.method !== 'GET') {
      write(request, { kind, name, part }, body?.length > 0 ? JSON.parse(body) : {}, reply);
    } else if (query.has('watch')) {
      watch(kind, Number(query.get('watch')), Number(query.get('wait_ms') ?? 0), response, reply);
    } else if (name === undefined) {
      reply(200, list(kind, query.get('after') ?? ''));
    } else {
      const held = kindOf(kind).get(name);
      reply(held === undefined ? 404 : 200, held ?? {});
    }
  });
  server.keepAliveTimeout = 60_000;
  const port = await listen(server, '127.0.0.1');
  return {
    address: `127.0.0.1:${port}`,
    /** Writes an object as the operator or a runner does. */
    put: (kind, name, spec) => {
      record({ what: 'store object', kind, name, version: spec.version });
      return change(kind, name, { spec, status: kindOf(kind).get(name)?.status ?? null });
    },
    remove: (kind, name) => change(kind, name, undefined),
    get: (kind, name) => kindOf(kind).get(name),
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
};
