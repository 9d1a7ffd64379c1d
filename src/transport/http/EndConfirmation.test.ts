import * as net from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe, it, type TestContext } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { expect } from 'earl';
import { until } from '../../../test/support/scoped.ts';
import { ConnectionPool } from './ConnectionPool.ts';
import { EndConfirmation } from './EndConfirmation.ts';
import type { ExchangeEvent } from './exchange.ts';
import type { AnswerFraming } from './framingOf.ts';

/** A server that answers checks, the pool towards it, and the clock that both the pool and its users read. */
interface Setting {
  readonly confirmation: () => EndConfirmation;
  readonly pool: ConnectionPool;
  readonly address: string;
  readonly sockets: net.Socket[];
  readonly checks: string[];
  readonly clock: { now: number };
}

const start = async (context: TestContext, path = '/healthz'): Promise<Setting> => {
  const sockets: net.Socket[] = [];
  const checks: string[] = [];
  const server = net.createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => {});
    socket.on('data', (bytes) => {
      checks.push(bytes.toString('latin1').split('\r\n')[0] ?? '');
      socket.write('HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n');
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const clock = { now: 10_000 };
  const pool = new ConnectionPool({
    connectTimeoutMs: 1_000,
    connectionTrustMs: 60_000,
    now: () => clock.now,
  });
  context.after(() => {
    pool.close();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const confirmation = (): EndConfirmation =>
    new EndConfirmation({ pool, address, method: 'GET', path, isRepeatable: true });
  return { confirmation, pool, address, sockets, checks, clock };
};

const WRITTEN: ExchangeEvent = {
  _tag: 'written',
  connection: { earlierRequests: 0, isRepeated: false },
};
const DATA: ExchangeEvent = { _tag: 'data', bytes: Buffer.from('x') };
const head = (framing: AnswerFraming): ExchangeEvent => ({
  _tag: 'head',
  status: 200,
  headers: {},
  headerLines: [],
  framing,
});

/** Resolves with `complete`, or with why the answer can't be taken for complete. */
const confirm = (confirmation: EndConfirmation): Promise<string> =>
  new Promise((resolve) => {
    confirmation.confirm((reason) => {
      confirmation.close();
      resolve(reason ?? 'complete');
    });
  });

const NO_CONNECTION = 'the server may have started again, and no connection is left from before';
const NO_ANSWER = 'the server answers no more on a connection from before';

describe('EndConfirmation', () => {
  // Guards against connections and waits for answers whose end is marked.
  it('takes a marked end for the end, and opens nothing', async (context) => {
    const { confirmation, sockets, clock } = await start(context);
    const answer = confirmation();
    answer.observe(WRITTEN);
    clock.now += 5_000;
    answer.observe(head('chunked'));
    expect(await confirm(answer)).toEqual('complete');
    await wait(80);
    expect(sockets.length).toEqual(0);
  });

  // Guards against a bound other than the stated one.
  [
    { silenceMs: 100, sees: 'complete' },
    { silenceMs: 101, sees: NO_CONNECTION },
  ].forEach(({ silenceMs, sees }) =>
    it(`without an earlier connection, sees after ${silenceMs} ms of silence: ${sees}`, async (context) => {
      const { confirmation, clock } = await start(context);
      const answer = confirmation();
      answer.observe(WRITTEN);
      clock.now += silenceMs;
      answer.observe(head('close'));
      answer.observe(DATA);
      expect(await confirm(answer)).toEqual(sees);
    }),
  );

  // Guards against sound slow answers that look broken each time, where a server never marks their ends.
  it('opens a connection early where the last answer of the server had no end mark', async (context) => {
    const { confirmation, pool, sockets, checks, clock } = await start(context);
    const first = confirmation();
    first.observe(WRITTEN);
    first.observe(head('close'));
    first.close();
    const second = confirmation();
    second.observe(WRITTEN);
    await until(() => sockets.length === 1);
    await wait(20);
    clock.now += 3_000;
    second.observe(head('close'));
    second.observe(DATA);
    expect(await confirm(second)).toEqual('complete');
    expect([checks, sockets.length]).toEqual([['GET /healthz HTTP/1.1'], 1]);
    pool.close();
  });

  // Guards against a connection to the new start that is taken for one from before.
  it('trusts no connection that was opened when the server may have started again', async (context) => {
    const { confirmation, sockets, checks, clock } = await start(context);
    const answer = confirmation();
    answer.observe(WRITTEN);
    clock.now += 1_000;
    answer.observe(head('close'));
    await until(() => sockets.length === 1);
    await wait(20);
    expect(await confirm(answer)).toEqual(NO_CONNECTION);
    expect(checks).toEqual([]);
  });

  // Guards against bytes of before a crash that count as sent when a slow reader takes them.
  it('asks the server where bytes were left unread', async (context) => {
    const { confirmation, sockets, checks, clock } = await start(context);
    const answer = confirmation();
    answer.observe(WRITTEN);
    answer.observe(head('close'));
    await until(() => sockets.length === 1);
    await wait(20);
    clock.now += 90;
    answer.pause();
    clock.now += 90;
    answer.observe(DATA);
    clock.now += 90;
    answer.observe(DATA);
    expect(await confirm(answer)).toEqual('complete');
    expect(checks.length).toEqual(1);
  });

  // Guards against a check that is believed although the process that it was meant for is gone.
  it('sees an earlier connection that is reset by the check', async (context) => {
    const { confirmation, sockets, clock } = await start(context);
    const answer = confirmation();
    answer.observe(WRITTEN);
    answer.observe(head('close'));
    await until(() => sockets.length === 1);
    await wait(20);
    sockets[0]?.removeAllListeners('data').on('data', () => sockets[0]?.resetAndDestroy());
    clock.now += 1_000;
    expect(await confirm(answer)).toEqual(NO_ANSWER);
  });

  // Guards against long streams that lose their evidence, because the server closes idle connections.
  it('replaces a connection that the server closes while the answer goes on', async (context) => {
    const { confirmation, sockets, checks, clock } = await start(context);
    const answer = confirmation();
    answer.observe(WRITTEN);
    answer.observe(head('close'));
    await until(() => sockets.length === 1);
    await wait(20);
    sockets[0]?.end();
    await wait(20);
    clock.now += 100;
    answer.observe(DATA);
    await until(() => sockets.length === 2);
    await wait(20);
    clock.now += 1_000;
    expect(await confirm(answer)).toEqual('complete');
    expect(checks.length).toEqual(1);
  });

  // Guards against a connection for each such answer that is closed unused.
  it('gives a connection back that it did not use', async (context) => {
    const { confirmation, pool, address, sockets } = await start(context);
    const answer = confirmation();
    answer.observe(WRITTEN);
    answer.observe(head('close'));
    await until(() => sockets.length === 1);
    await wait(20);
    answer.close();
    expect(pool.takeIdle(address, Infinity) === undefined).toEqual(false);
  });

  // Guards against a configured path that ends the process.
  it('takes no answer for complete if the path of the check is none', async (context) => {
    const { confirmation, sockets, clock } = await start(context, '/a b');
    const answer = confirmation();
    answer.observe(WRITTEN);
    answer.observe(head('close'));
    await until(() => sockets.length === 1);
    await wait(20);
    clock.now += 1_000;
    expect(await confirm(answer)).toEqual(NO_ANSWER);
  });
});
