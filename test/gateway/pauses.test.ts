import * as net from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { expect } from 'earl';
import { until } from '../support/scoped.ts';
import {
  call,
  HOST,
  KEY,
  makeConfiguration,
  runnerSpec,
  startReadyGateway,
} from './startGateway.ts';
import { answer, chunk, END, event, startRunner, streamHead } from './startRunner.ts';

/** Longer than a gateway without changes may take the store for available, and than its watches take. */
const PAUSE_MS = 2_500;
/** Longer than any pause that is left unnoticed. */
const SHORT_PAUSE_MS = 700;
/** In this time after a pause the store has confirmed the view. */
const REFRESHED_MS = 300;

const block = (ms: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
};

/** A gateway before one endpoint, and a connection of a caller. */
const start = async (context: Parameters<typeof startRunner>[0]) => {
  const runner = await startRunner(context, (request) => {
    request.socket.write(answer(request, 'hello'));
  });
  const { gateway, store } = await startReadyGateway(context, {
    'i-1': runnerSpec('plain', runner),
  });
  const [host, port] = gateway.addresses.callers.split(':');
  const caller = net.connect(Number(port), host);
  context.after(() => caller.destroy());
  let got = '';
  caller.on('data', (bytes) => {
    got += bytes.toString('latin1');
  });
  await new Promise((resolve) => {
    caller.once('connect', resolve);
  });
  // The gateway has accepted the connection and watches the store.
  await wait(100);
  const ask = (): void => {
    caller.write(
      `GET /read/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Corianderwick-Request-Id: paused\r\nX-Corianderwick-Key: ${KEY}\r\n\r\n`,
    );
  };
  return { runner, store, gateway, ask, got: () => got };
};

// Each guards against requests to an endpoint that left while the gateway was paused (DRAIN).
describe('a gateway whose process was paused', () => {
  it('sends nothing by the view of the store from before', async (context) => {
    const { runner, store, gateway, ask, got } = await start(context);
    ask();
    store.remove('servers', 'i-1');
    block(PAUSE_MS);
    await until(() => got() !== '');
    expect(got()).toInclude('503');
    await wait(REFRESHED_MS);
    // Its own pause is no outage of the store, in which missing endpoints stay in use.
    expect((await call(gateway.addresses.callers, { path: '/read/2' })).status).toEqual(503);
    expect(runner.arrived).toEqual([]);
  });

  it('sends nothing if only the wall clock counted the time', async (context) => {
    const { runner, store, ask, got } = await start(context);
    store.remove('servers', 'i-1');
    ask();
    const wallNow = Date.now;
    context.mock.method(Date, 'now', () => wallNow() + PAUSE_MS);
    await until(() => got() !== '');
    expect(got()).toInclude('503');
    expect(runner.arrived).toEqual([]);
  });

  it('sends nothing if that was between its decision and the write', async (context) => {
    const { runner, store, ask, got } = await start(context);
    const port = Number(runner.address.split(':')[1]);
    const { connect } = net.Socket.prototype;
    let isBlocked = false;
    context.mock.method(
      net.Socket.prototype,
      'connect',
      function connectSlowly(this: net.Socket, ...given: Parameters<typeof connect>) {
        const [[options]] = given as unknown as [[{ port?: number }]];
        if (options.port === port && !isBlocked) {
          isBlocked = true;
          this.prependOnceListener('connect', () => {
            store.remove('servers', 'i-1');
            block(SHORT_PAUSE_MS);
          });
        }
        return connect.apply(this, given);
      },
    );
    ask();
    await until(() => got() !== '');
    expect(isBlocked).toEqual(true);
    expect(got()).toInclude('503');
    expect(runner.arrived).toEqual([]);
  });

  // Guards against a quota that is charged twice, by a leader that was paused and by the one that took its place.
  it('starts with empty quota buckets', async (context) => {
    const runner = await startRunner(context, (request) => {
      request.socket.write(streamHead(request) + chunk(event(1)) + END);
    });
    const { tenants, ...configuration } = makeConfiguration(7);
    const [tenant] = tenants as readonly object[];
    const limited = { ...tenant, plain_tokens: 100, rate_per_s: 100 };
    const { gateway } = await startReadyGateway(
      context,
      { 'i-1': runnerSpec('model', runner) },
      { ...configuration, tenants: [limited] },
    );
    const stream = () => call(gateway.addresses.callers, { path: '/stream/', method: 'POST' });
    // Time in which the bucket fills.
    await wait(1_500);
    const before = await stream();
    const wallNow = Date.now;
    context.mock.method(Date, 'now', () => wallNow() - PAUSE_MS);
    expect([before.status, (await stream()).status]).toEqual([200, 429]);
  });

  it('serves by the last view if the store is away', async (context) => {
    const { runner, store, ask, got } = await start(context);
    store.setCondition({ _tag: 'silent' });
    ask();
    block(SHORT_PAUSE_MS);
    await until(() => got() !== '');
    expect(got()).toInclude('hello');
    expect(runner.arrived.length).toEqual(1);
  });
});
