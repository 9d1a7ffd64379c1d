import * as net from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe, it, type TestContext } from 'node:test';
import { expect } from 'earl';
import { ConnectionPool, type ConnectOutcome } from './ConnectionPool.ts';

const start = async (context: TestContext, maximumConnections?: number) => {
  const server = net.createServer((socket) => socket.on('error', () => {}));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const pool = new ConnectionPool({
    connectTimeoutMs: 1_000,
    connectionTrustMs: 60_000,
    ...(maximumConnections !== undefined && { maximumConnections }),
    now: () => performance.now(),
  });
  context.after(() => {
    pool.close();
    server.close();
  });
  const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  /** Sends a request and gets its whole answer, as far as the pool can tell. */
  const carry = async (id: string, isKept = true): Promise<net.Socket> => {
    const outcome = await new Promise<ConnectOutcome>((resolve) => {
      pool.connect(address, false, resolve, id);
    });
    if (outcome._tag === 'refused') throw new Error(outcome.detail);
    pool.recordRequest(outcome.socket, id);
    if (isKept) pool.release(address, outcome.socket);
    return outcome.socket;
  };
  return { carry, pool, address };
};

describe('ConnectionPool', () => {
  // Guards against a process that runs out of descriptors, so that it can't accept its callers either.
  it('opens no more connections than it may, and closes idle ones to make room', async (context) => {
    const { carry, pool, address } = await start(context, 2);
    const first = await carry('a');
    await carry('a', false);
    await carry('a', false);
    expect(first.destroyed).toEqual(true);
    const outcome = await new Promise((resolve) => {
      pool.connect(address, false, resolve);
    });
    expect(outcome).toEqual({
      _tag: 'refused',
      detail: 'too many open connections',
      exhausted: true,
    });
  });

  // TWICE: the copy of a refusal came before the answer to the same request, which was then sent to another endpoint.
  it('gives a request no connection that has carried its id', async (context) => {
    const { carry } = await start(context);
    const first = await carry('a');
    expect(await carry('b')).toExactlyEqual(first);
    const second = await carry('a');
    expect(second === first).toEqual(false);
    expect([await carry('a')].some((socket) => [first, second].includes(socket))).toEqual(false);
  });

  it('takes an older idle connection that has not carried the id, and keeps the others', async (context) => {
    const { carry } = await start(context);
    const first = await carry('a');
    const second = await carry('a');
    await carry('c', false);
    expect(await carry('c')).toExactlyEqual(first);
    expect(second.destroyed).toEqual(false);
  });

  // Guards against one id that comes all the time, and opens as many connections as may be idle.
  it('keeps few connections that have all carried the id which comes next', async (context) => {
    const { carry } = await start(context);
    const sockets = new Set<net.Socket>();
    // eslint-disable-next-line no-await-in-loop
    for (let at = 0; at < 20; at += 1) sockets.add(await carry('a'));
    expect(sockets.size).toEqual(20);
    expect([...sockets].filter(({ destroyed }) => !destroyed).length).toBeLessThan(4);
  });

  it('closes a connection that has carried as many requests as it can tell apart', async (context) => {
    const { carry } = await start(context);
    const first = await carry('request');
    let at = 0;
    let last = first;
    while (last === first && at < 1_000) {
      // eslint-disable-next-line no-await-in-loop
      last = await carry(`request-${at}`);
      at += 1;
    }
    expect([last === first, first.destroyed]).toEqual([false, true]);
  });
});
