/* eslint-disable */
// Stand-in for the platform's metadata store, as PROTOCOL.md describes it. It runs in the process of the test.
import http from 'node:http';

const ANSWER_MS = 4;

/** Starts the store on a free port. */
export const startStore = async () => {
  let revision = 1000;
  let era = 1;
  let oldest = 0;
  let isAway = false;
  let kinds = new Map();
  let events = [];
  const copies = [];
  const waiting = new Set();
  const calls = { list: 0, watch: 0, write: 0, refused: 0 };

  const wake = () => [...waiting].forEach((check) => check());
  const kindOf = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };
  const change = (kind, name, content) => {
    const held = kindOf(kind);
    const before = held.get(name);
    if (content !== undefined && before !== undefined) {
      const same =
        JSON.stringify([before.spec, before.status]) ===
        JSON.stringify([content.spec, content.status]);
      if (same) return before;
    }
    revision += 1;
    const metadata = {
      name,
      revision,
      created_rev: before?.metadata.created_rev ?? revision,
      finalizers: [],
      deleting: false,
    };
    const object =
      content === undefined ? before : { metadata, spec: content.spec, status: content.status };
    if (content === undefined) held.delete(name);
    else held.set(name, object);
    events.push({ kind, revision, removed: content === undefined, object });
    wake();
    return object;
  };

  const server = http.createServer((request, response) => {
    const reply = (status, body) => {
      setTimeout(() => {
        response.writeHead(status, {
          'content-type': 'application/json',
          'store-era': String(era),
        });
        response.end(JSON.stringify(body));
      }, ANSWER_MS);
    };
    const url = new URL(request.url, 'http://store');
    const [, , , kind = '', rawName, part] = url.pathname.split('/');
    const name = rawName === undefined ? undefined : decodeURIComponent(rawName);
    const chunks = [];
    request.on('data', (bytes) => chunks.push(bytes));
    request.on('error', () => {});
    request.on('end', () => {
      if (isAway) {
        calls.refused += 1;
        reply(503, {});
        return;
      }
      const from = url.searchParams.get('watch');
      if (request.method === 'GET' && from !== null) {
        calls.watch += 1;
        const since = Number(from);
        const ownEra = era;
        const until = performance.now() + Number(url.searchParams.get('wait_ms') ?? 0);
        const check = () => {
          // A revision that this store does not have, or whose history is gone.
          const isGone = since > revision || since < oldest;
          const found = events.filter((event) => event.kind === kind && event.revision > since);
          if (
            !isAway &&
            ownEra === era &&
            !isGone &&
            found.length === 0 &&
            performance.now() < until
          )
            return;
          waiting.delete(check);
          clearTimeout(timer);
          if (isAway || ownEra !== era) request.socket.destroy();
          else if (isGone) reply(410, {});
          else
            reply(200, {
              events: found.map(({ removed, object }) => ({ removed, object })),
              store_revision: revision,
            });
        };
        const timer = setTimeout(check, Math.max(1, until - performance.now() + 1));
        waiting.add(check);
        response.on('close', () => {
          waiting.delete(check);
          clearTimeout(timer);
        });
        check();
        return;
      }
      if (request.method === 'GET' && name === undefined) {
        calls.list += 1;
        const items = [...kindOf(kind)]
          .sort(([a], [b]) => (a < b ? -1 : 1))
          .map(([, object]) => object);
        reply(200, { items, has_more: false, store_revision: revision });
        return;
      }
      if (request.method === 'GET') {
        const object = kindOf(kind).get(name);
        reply(object === undefined ? 404 : 200, object ?? {});
        return;
      }
      calls.write += 1;
      const sent = JSON.parse(Buffer.concat(chunks).toString() || '{}');
      const target = name ?? sent.metadata.name;
      const held = kindOf(kind).get(target);
      if (request.method === 'POST') {
        if (held !== undefined) reply(409, held);
        else
          reply(
            201,
            change(kind, target, { spec: sent.spec ?? null, status: sent.status ?? null }),
          );
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
        change(kind, target, undefined);
        reply(200, held);
      } else if (part === 'status')
        reply(200, change(kind, target, { spec: held.spec, status: sent.status }));
      else reply(200, change(kind, target, { spec: sent.spec, status: held.status }));
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  const copy = () => ({
    at: performance.now(),
    revision,
    kinds: new Map([...kinds].map(([kind, objects]) => [kind, new Map(objects)])),
  });
  const copier = setInterval(() => {
    copies.push(copy());
    if (copies.length > 400) copies.shift();
  }, 50);

  return {
    address: `127.0.0.1:${server.address().port}`,
    calls,
    get revision() {
      return revision;
    },
    get era() {
      return era;
    },
    get: (kind, name) => kindOf(kind).get(name),
    /** What the operator or a runner writes; returns the acknowledged object. */
    put: (kind, name, spec) => {
      if (isAway) return undefined;
      return change(kind, name, { spec, status: kindOf(kind).get(name)?.status ?? null });
    },
    remove: (kind, name) => {
      if (!isAway && kindOf(kind).has(name)) change(kind, name, undefined);
    },
    setAway: (away) => {
      isAway = away;
      wake();
    },
    compact: () => {
      oldest = revision;
      wake();
    },
    /** Comes back from the copy that was made `ageMs` ago. Revisions go back and are given out again. */
    restore: (ageMs) => {
      const then = performance.now() - ageMs;
      const found = copies.findLast(({ at }) => at <= then) ?? copies[0];
      revision = found.revision;
      kinds = new Map([...found.kinds].map(([kind, objects]) => [kind, new Map(objects)]));
      events = events.filter((event) => event.revision <= revision);
      era += 1;
      wake();
      return found.revision;
    },
    close: () => {
      clearInterval(copier);
      server.closeAllConnections();
      server.close();
    },
  };
};
