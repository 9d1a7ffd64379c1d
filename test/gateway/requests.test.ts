import * as net from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { until } from '../support/scoped.ts';
import {
  call,
  KEY,
  makeConfiguration,
  runnerSpec,
  startGateway,
  startReadyGateway,
  type CallerInput,
} from './startGateway.ts';
import {
  answer,
  notRun,
  signed,
  startRunner,
  type ArrivedRequest,
  type RunnerScript,
} from './startRunner.ts';

const write =
  (text: (request: ArrivedRequest) => string): RunnerScript =>
  (request) => {
    request.socket.write(text(request));
  };

const served = write((request) => answer(request, 'hello'));

describe('a gateway before callers', () => {
  it('answers 503 with a time to come back while it knows no configuration', async (context) => {
    const { gateway } = await startGateway(context);
    const { status, headers } = await call(gateway.addresses.callers, { path: '/read/1' });
    expect(status).toEqual(503);
    expect(Number(headers['retry-after'])).toBeGreaterThan(0);
  });

  it('forwards method, path, query and body unchanged, and sets what is its own to set', async (context) => {
    const runner = await startRunner(context, served);
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
    await call(gateway.addresses.callers, {
      path: '/write/a%20b?x=1&y=%2F',
      method: 'POST',
      body: 'the body',
      headers: {
        'x-corianderwick-tenant': 'somebody-else',
        'x-corianderwick-hold': 'h',
        'x-corianderwick-pin-ms': '4000',
        'x-corianderwick-kv-backup': '10.0.0.1:1',
        'kv-from': '10.0.0.1:1/x',
        'x-corianderwick-expect-instance': 'i-9',
        'x-corianderwick-model': 'm',
        connection: 'close, x-corianderwick-model, x-own',
        'x-own': 'for one connection',
        'x-kept': 'for the endpoint',
      },
    });
    const [request] = runner.arrived;
    expect(request?.line).toEqual('POST /write/a%20b?x=1&y=%2F HTTP/1.1');
    expect(request?.body).toEqual('the body');
    const { headers = {} } = request ?? {};
    expect(headers['x-corianderwick-tenant']).toEqual('office');
    expect(headers['x-corianderwick-expect-instance']).toEqual('i-1');
    expect(headers['x-corianderwick-model']).toEqual('m');
    expect(headers['x-kept']).toEqual('for the endpoint');
    expect(Number(headers['x-corianderwick-deadline-ms'])).toBeLessThanOrEqual(2_000);
    const forbidden = ['key', 'hold', 'pin-ms', 'kv-backup'].map(
      (name) => `x-corianderwick-${name}`,
    );
    expect(
      [...forbidden, 'kv-from', 'x-own'].filter((name) => headers[name] !== undefined),
    ).toEqual([]);
  });

  // Guards against a truncated answer that its caller gets as a success, because its endpoint's end looks like its own.
  it('never passes on an answer without a length whose endpoint ends with it', async (context) => {
    const runner = await startRunner(context, (request) => {
      request.socket.end(`${signed(request)}\r\nhel`);
      runner.stopListening();
    });
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
    const got = await call(gateway.addresses.callers, { path: '/write/1', method: 'POST' });
    expect([got.status, got.body]).toEqual([502, '']);
  });

  it('passes on an answer without a length whose endpoint goes on', async (context) => {
    const runner = await startRunner(context, (request) => {
      request.socket.end(`${signed(request)}\r\nhello`);
    });
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
    const got = await call(gateway.addresses.callers, { path: '/write/1', method: 'POST' });
    expect([got.status, got.body]).toEqual([200, 'hello']);
  });

  const REFUSALS: readonly {
    readonly name: string;
    readonly input: CallerInput;
    readonly status: number;
  }[] = [
    { name: 'no route', input: { path: '/nowhere/' }, status: 404 },
    {
      name: 'a key of nobody',
      input: { path: '/read/', headers: { 'x-corianderwick-key': 'x' } },
      status: 401,
    },
    {
      name: 'a body over the limit',
      input: { path: '/write/', method: 'POST', body: 'x'.repeat(1_001) },
      status: 413,
    },
    {
      name: 'a head over the limit',
      input: { path: '/read/', headers: { 'x-long': 'x'.repeat(5_000) } },
      status: 431,
    },
  ];
  REFUSALS.forEach(({ name, input, status }) =>
    it(`answers ${status} for ${name} and sends it nowhere`, async (context) => {
      const runner = await startRunner(context, served);
      const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
      expect((await call(gateway.addresses.callers, input)).status).toEqual(status);
      expect(runner.arrived.length).toEqual(0);
    }),
  );

  const SMUGGLED = [
    { name: 'two framings', head: 'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n' },
    { name: 'two lengths', head: 'Content-Length: 4\r\nContent-Length: 30\r\n' },
    { name: 'an unknown coding', head: 'Transfer-Encoding: xchunked\r\n' },
    { name: 'a name with a space', head: 'Content-Length : 4\r\n' },
    // UNASKED: the coded bytes were forwarded, without the line that names the coding.
    { name: 'a coding within chunks', head: 'Transfer-Encoding: gzip, chunked\r\n' },
    { name: 'chunks within chunks', head: 'Transfer-Encoding: chunked, chunked\r\n' },
  ];
  SMUGGLED.forEach(({ name, head }) =>
    it(`lets no request through that is framed by ${name}`, async (context) => {
      const runner = await startRunner(context, served);
      const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
      const [host, port] = gateway.addresses.callers.split(':');
      const socket = net.connect(Number(port), host);
      let text = '';
      socket.on('data', (bytes) => {
        text += bytes.toString('latin1');
      });
      const inner = `GET /read/inner HTTP/1.1\r\nHost: desk.example\r\nX-Corianderwick-Request-Id: inner\r\nX-Corianderwick-Key: ${KEY}\r\n\r\n`;
      socket.write(
        `POST /write/ HTTP/1.1\r\nHost: desk.example\r\nX-Corianderwick-Request-Id: outer\r\nX-Corianderwick-Key: ${KEY}\r\n${head}\r\n0\r\n\r\n${inner}`,
      );
      await until(() => socket.destroyed || socket.readableEnded);
      expect(text.slice(0, 12)).toEqual('HTTP/1.1 400');
      expect(runner.arrived.length).toEqual(0);
    }),
  );
});

describe('a gateway towards endpoints', () => {
  /** What an endpoint does with a request, and what its caller must get. */
  const ANSWERS: readonly {
    readonly name: string;
    readonly script: RunnerScript;
    readonly path: string;
    readonly status: number;
    /** Arrivals at both endpoints together. */
    readonly arrivals: number;
    readonly body?: string;
  }[] = [
    {
      name: 'passes a whole answer on',
      script: served,
      path: '/write/',
      status: 200,
      arrivals: 1,
      body: 'hello',
    },
    {
      name: "passes an endpoint's own failure on",
      script: write((request) => answer(request, 'no', '500 Internal Server Error')),
      path: '/write/',
      status: 500,
      arrivals: 1,
      body: 'no',
    },
    {
      name: 'answers 502 where an unsafe request may have run',
      script: ({ socket }) => socket.destroy(),
      path: '/write/',
      status: 502,
      arrivals: 1,
    },
    {
      name: 'sends a safe request once more where it may have run',
      script: ({ socket }) => socket.destroy(),
      path: '/read/',
      status: 502,
      arrivals: 2,
    },
    {
      name: 'refuses truthfully where every endpoint says that it has not run',
      script: write(notRun),
      path: '/write/',
      status: 503,
      arrivals: 2,
    },
    {
      name: 'passes no answer on that bears the id of another request',
      script: write((request) => answer(request, 'crossed').replace(/request-\d+/, 'another')),
      path: '/write/',
      status: 502,
      arrivals: 1,
    },
    {
      name: 'passes no success on without a signature',
      script: write((request) =>
        answer(request, 'x').replace(/X-Corianderwick-Server-Stamp.*\r\n/, ''),
      ),
      path: '/write/',
      status: 502,
      arrivals: 1,
    },
    {
      name: 'passes no encoded body on',
      script: write(
        (request) => `${signed(request)}Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx`,
      ),
      path: '/write/',
      status: 502,
      arrivals: 1,
    },
    {
      name: 'passes no answer on that is cut short',
      script: (request) => request.socket.end(`${signed(request)}Content-Length: 9\r\n\r\nhel`),
      path: '/write/',
      status: 502,
      arrivals: 1,
    },
    {
      name: 'passes nothing on that is no HTTP',
      script: ({ socket }) => socket.end('what?'),
      path: '/write/',
      status: 502,
      arrivals: 1,
    },
    {
      name: "keeps a route's time limit",
      script: () => {},
      path: '/brief/',
      status: 504,
      arrivals: 1,
    },
  ];
  ANSWERS.forEach(({ name, script, path, status, arrivals, body }) =>
    it(name, async (context) => {
      const runners = [await startRunner(context, script), await startRunner(context, script)];
      const specs = Object.fromEntries(
        runners.map((runner, index) => [`i-${index}`, runnerSpec('plain', runner)]),
      );
      const { gateway } = await startReadyGateway(context, specs);
      const got = await call(gateway.addresses.callers, { path });
      expect(got.status).toEqual(status);
      if (body !== undefined) expect(got.body).toEqual(body);
      expect(runners.reduce((sum, { arrived }) => sum + arrived.length, 0)).toEqual(arrivals);
    }),
  );

  it('leaves the work of a caller that has left', async (context) => {
    const runner = await startRunner(context, () => {});
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
    const [host, port] = gateway.addresses.callers.split(':');
    const socket = net.connect(Number(port), host);
    socket.write(
      `GET /read/ HTTP/1.1\r\nHost: desk.example\r\nX-Corianderwick-Request-Id: leaving\r\nX-Corianderwick-Key: ${KEY}\r\n\r\n`,
    );
    await until(() => runner.arrived.length === 1);
    socket.destroy();
    await until(() => runner.abandoned() === 1);
  });

  it('sends nothing to an endpoint that drains', async (context) => {
    const leaving = await startRunner(context, served);
    const staying = await startRunner(context, served);
    const { gateway, store, log } = await startReadyGateway(context, {
      'i-1': runnerSpec('plain', leaving),
      'i-2': runnerSpec('plain', staying),
    });
    store.put('servers', 'i-1', runnerSpec('plain', leaving, { state: 'draining' }));
    await until(() => log.some(({ change }) => change === 'draining'));
    for (let count = 0; count < 8; count += 1) {
      await call(gateway.addresses.callers, { path: '/read/' });
    }
    expect(leaving.arrived.length).toEqual(0);
    expect(staying.arrived.length).toEqual(8);
  });

  it('puts a new configuration in force, and never an older one', async (context) => {
    const runner = await startRunner(context, served);
    const { gateway, store, log } = await startReadyGateway(context, {
      'i-1': runnerSpec('plain', runner),
    });
    store.put('config', 'main', { ...makeConfiguration(9), tenants: [] });
    await until(() =>
      log.some(({ msg, version }) => msg === 'configuration in force' && version === 9),
    );
    store.put('config', 'main', makeConfiguration(8));
    store.compact();
    await until(() => store.calls.filter((line) => line === 'GET /api/objects/config').length > 4);
    expect((await call(gateway.addresses.callers, { path: '/read/' })).status).toEqual(401);
  });
});
