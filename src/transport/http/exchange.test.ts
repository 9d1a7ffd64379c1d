import * as net from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import type { TestContext } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { expect } from 'earl';
import fc from 'fast-check';
import { ConnectionPool } from './ConnectionPool.ts';
import { exchange, type ExchangeEvent, type HttpRequest } from './exchange.ts';

const SEED = 4;
const UNFRAMED = 'HTTP/1.1 200 OK\r\n\r\nabc';
const FRAMED = 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc';

/** Answers each connection's first bytes with a script. */
const startScript = async (
  context: TestContext,
  script: (socket: net.Socket, request: string) => void,
): Promise<string> => {
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (bytes) => script(socket, bytes.toString('latin1')));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => server.close());
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const makePool = (context: TestContext, onFault?: (error: unknown) => void): ConnectionPool => {
  const pool = new ConnectionPool({
    connectTimeoutMs: 1_000,
    connectionTrustMs: 60_000,
    now: () => performance.now(),
    ...(onFault && { onFault }),
  });
  context.after(() => pool.close());
  return pool;
};

const run = (
  pool: ConnectionPool,
  address: string,
  more: Partial<HttpRequest> = {},
): Promise<ExchangeEvent[]> =>
  new Promise((resolve) => {
    const events: ExchangeEvent[] = [];
    exchange(
      pool,
      {
        address,
        method: 'GET',
        path: '/',
        headers: {},
        headerLines: ['Host', 'example', 'X-Mixed-Case', 'kept'],
        body: undefined,
        fresh: false,
        silenceMs: undefined,
        ...more,
      },
      (event) => {
        events.push(event);
        if (event._tag === 'ended' || event._tag === 'broken' || event._tag === 'refused') {
          // What follows in the same turn must not be told any more.
          setImmediate(() => resolve(events));
        }
      },
    );
  });

const lastOf = (events: readonly ExchangeEvent[]): string | undefined => events.at(-1)?._tag;

describe('exchange', () => {
  // Guards against requests that are written after the permission to send them has expired while they connected.
  it('writes nothing that may no longer be written once there is a connection', async (context) => {
    let requests = 0;
    const address = await startScript(context, (socket) => {
      requests += 1;
      socket.write(FRAMED);
    });
    const pool = makePool(context);
    const events = await run(pool, address, { mayWrite: () => false });
    expect(events.map(({ _tag }) => _tag)).toEqual(['refused']);
    const served = await run(pool, address, { mayWrite: () => true });
    expect([served.at(-1)?._tag, requests]).toEqual(['ended', 1]);
  });

  // LOST: an error in the handling of one answer ended the process with all its requests.
  (['written', 'head', 'data', 'ended'] as const).forEach((tag) =>
    it(`breaks off alone where its listener throws at ${tag}, and reports it`, async (context) => {
      const address = await startScript(context, (socket) => socket.write(FRAMED));
      const faults: unknown[] = [];
      const pool = makePool(context, (error) => faults.push(error));
      const fault = new Error('listener failed');
      const tags: string[] = [];
      const request = { address, method: 'GET', path: '/', headers: {}, body: undefined };
      exchange(pool, { ...request, fresh: true, silenceMs: undefined }, ({ _tag }) => {
        tags.push(_tag);
        if (_tag === tag) throw fault;
      });
      while (faults.length === 0) await wait(1);
      expect(faults).toEqual([fault]);
      expect(tags.at(-1)).toEqual(tag === 'ended' ? 'ended' : 'broken');
      expect(lastOf(await run(pool, address))).toEqual('ended');
    }),
  );

  it('ends an answer without a length at the end of its connection', async (context) => {
    const address = await startScript(context, (socket) => socket.end(UNFRAMED));
    expect(lastOf(await run(makePool(context), address))).toEqual('ended');
  });

  it('breaks an answer without a length that is reset together with its last bytes', async (context) => {
    const address = await startScript(context, (socket) => {
      socket.write(UNFRAMED);
      socket.resetAndDestroy();
    });
    expect(lastOf(await run(makePool(context), address))).toEqual('broken');
  });

  it('breaks an answer that ends before its length', async (context) => {
    const address = await startScript(context, (socket) => socket.end(FRAMED.slice(0, -1)));
    expect(lastOf(await run(makePool(context), address))).toEqual('broken');
  });

  // Guards against a truncated answer that counts as complete, at whichever byte and however its connection ends.
  const MARKED = {
    'a length': FRAMED,
    chunks: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n',
  };
  Object.entries(MARKED).forEach(([name, whole]) =>
    (['end', 'reset'] as const).forEach((ending) =>
      it(`breaks an answer with ${name} that is cut at any byte by ${ending}`, async (context) => {
        let length = 0;
        const address = await startScript(context, (socket) => {
          const part = whole.slice(0, length);
          if (ending === 'end') socket.end(part);
          else socket.write(part, () => socket.resetAndDestroy());
        });
        const pool = makePool(context);
        for (length = 0; length < whole.length; length += 1) {
          // eslint-disable-next-line no-await-in-loop
          expect([length, lastOf(await run(pool, address))]).toEqual([length, 'broken']);
        }
        if (ending === 'end') expect(lastOf(await run(pool, address))).toEqual('ended');
      }),
    ),
  );

  it('reads the same answer whichever parts its bytes come in', async (context) => {
    let cuts: readonly number[] = [];
    const address = await startScript(context, async (socket) => {
      const borders = [0, ...cuts, MARKED.chunks.length];
      const parts = borders.slice(1).map((end, index) => MARKED.chunks.slice(borders[index], end));
      for (const part of parts) {
        socket.write(part);
        // eslint-disable-next-line no-await-in-loop
        await wait(1);
      }
    });
    const pool = makePool(context);
    const positions = fc.subarray(
      Array.from({ length: MARKED.chunks.length }, (_, at) => at),
      {
        maxLength: 6,
      },
    );
    await fc.assert(
      fc.asyncProperty(positions, async (next) => {
        cuts = next;
        const events = await run(pool, address);
        const body = events.map((event) => (event._tag === 'data' ? event.bytes.toString() : ''));
        expect([body.join(''), lastOf(events)]).toEqual(['abcde', 'ended']);
      }),
      { seed: SEED, numRuns: 50 },
    );
  });

  // MIXED: a part that was reset passed for the whole answer, as any transfer coding was taken for a mark of its end.
  (
    ['identity', 'Identity', 'gzip', 'xchunked', 'chunked, gzip', 'chunked, identity'] as const
  ).forEach((coding) =>
    it(`breaks an answer in the coding ${coding} that is reset together with its last bytes`, async (context) => {
      const address = await startScript(context, (socket) => {
        socket.write(UNFRAMED.replace('\r\n\r\n', `\r\nTransfer-Encoding: ${coding}\r\n\r\n`));
        socket.resetAndDestroy();
      });
      expect(lastOf(await run(makePool(context), address))).toEqual('broken');
    }),
  );

  // Guards against callers that get coded bytes without the line that says so, as it concerns one connection only.
  (['gzip', 'gzip, chunked', 'chunked, chunked', 'chunked, identity'] as const).forEach((coding) =>
    it(`breaks an answer in the coding ${coding}, which it hasn't asked for`, async (context) => {
      const address = await startScript(context, (socket) =>
        socket.end(`HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n3\r\nabc\r\n0\r\n\r\n`),
      );
      const events = await run(makePool(context), address);
      expect(events.map(({ _tag }) => _tag)).toEqual(['written', 'broken']);
    }),
  );

  it('ends an answer in no coding at the end of its connection', async (context) => {
    const address = await startScript(context, (socket) =>
      socket.end(UNFRAMED.replace('\r\n\r\n', '\r\nTransfer-Encoding: identity\r\n\r\n')),
    );
    const events = await run(makePool(context), address);
    const framings = events.map((event) => (event._tag === 'head' ? event.framing : event._tag));
    expect(framings).toEqual(['written', 'close', 'data', 'ended']);
  });

  // Guards against a status that says nothing of what became of a request, towards callers and in answers of the store.
  ['000', '099', '101', '600', '999'].forEach((status) =>
    it(`breaks an answer of the status ${status}`, async (context) => {
      const address = await startScript(context, (socket) =>
        socket.write(FRAMED.replace('200', status)),
      );
      const events = await run(makePool(context), address);
      expect(events.map(({ _tag }) => _tag)).toEqual(['written', 'broken']);
    }),
  );

  // Guards against an answer without a body whose missing length counts as an end by its connection.
  it('takes the head of an answer without a body for its end', async (context) => {
    const address = await startScript(context, (socket) =>
      socket.write('HTTP/1.1 204 No Content\r\n\r\n'),
    );
    const [, head] = await run(makePool(context), address);
    expect(head?._tag === 'head' && head.framing).toEqual('length');
  });

  it('keeps a whole answer that is followed by another one', async (context) => {
    const address = await startScript(context, (socket) => socket.write(FRAMED + FRAMED));
    expect(lastOf(await run(makePool(context), address))).toEqual('ended');
  });

  it('sends header lines as they are and uses the connection again', async (context) => {
    const requests: string[] = [];
    const ports = new Set<number | undefined>();
    const address = await startScript(context, (socket, request) => {
      requests.push(request);
      ports.add(socket.remotePort);
      socket.write(FRAMED);
    });
    const pool = makePool(context);
    await run(pool, address);
    await run(pool, address);
    expect(requests[0]).toEqual(
      'GET / HTTP/1.1\r\nHost: example\r\nX-Mixed-Case: kept\r\nConnection: keep-alive\r\n\r\n',
    );
    expect(ports.size).toEqual(1);
  });

  it('drops a connection on which an idle endpoint says more', async (context) => {
    const ports = new Set<number | undefined>();
    const address = await startScript(context, (socket) => {
      ports.add(socket.remotePort);
      socket.write(FRAMED);
      setTimeout(() => socket.write(FRAMED), 10);
    });
    const pool = makePool(context);
    await run(pool, address);
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    await run(pool, address);
    expect(ports.size).toEqual(2);
  });

  // Guards against a request that is called not run though its head was all of it (TWICE).
  it('writes a request with an empty body at once, since its head is the whole of it', async (context) => {
    const address = await startScript(context, () => {});
    const events: ExchangeEvent['_tag'][] = [];
    const call = exchange(
      makePool(context),
      {
        address,
        method: 'POST',
        path: '/',
        headers: {},
        body: Buffer.alloc(0),
        fresh: false,
        silenceMs: undefined,
        continueWithinMs: 20,
      },
      ({ _tag }) => events.push(_tag),
    );
    await wait(100);
    expect(events).toEqual(['written']);
    call.abort();
  });
});
