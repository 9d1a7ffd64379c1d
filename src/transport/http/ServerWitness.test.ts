import * as net from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe, it, type TestContext } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { expect } from 'earl';
import { until } from '../../../test/support/scoped.ts';
import { ConnectionPool } from './ConnectionPool.ts';
import type { Inquiry, InquiryFinding } from './Inquiry.ts';
import { ServerWitness } from './ServerWitness.ts';

/** How a server treats its connections. */
interface ServerScript {
  /** Connections that carry nothing are closed after it. */
  readonly idleMs?: number;
  /** Answers a check, or doesn't. */
  readonly answer?: (socket: net.Socket, count: number) => void;
}

interface Setting {
  readonly witness: ServerWitness;
  readonly pool: ConnectionPool;
  readonly sockets: Set<net.Socket>;
  readonly counts: { connections: number; checks: number };
  readonly inquire: (inquiry: Inquiry) => Promise<InquiryFinding>;
  /** Stops listening, and leaves the connections open. */
  readonly stopListening: () => void;
}

const OK = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';
const answerAll = (socket: net.Socket): void => {
  socket.write(OK);
};

const start = async (
  context: TestContext,
  { idleMs = 60_000, answer = answerAll }: ServerScript = {},
): Promise<Setting> => {
  const sockets = new Set<net.Socket>();
  const counts = { connections: 0, checks: 0 };
  const server = net.createServer((socket) => {
    counts.connections += 1;
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket)).on('error', () => {});
    socket.setTimeout(idleMs, () => socket.end());
    socket.on('data', () => {
      socket.setTimeout(0);
      counts.checks += 1;
      answer(socket, counts.checks);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const pool = new ConnectionPool({
    connectTimeoutMs: 1_000,
    connectionTrustMs: 60_000,
    now: () => performance.now(),
  });
  context.after(() => {
    pool.close();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const witness = new ServerWitness(pool, { address, method: 'GET', path: '/healthz' }, () => {});
  const inquire = (inquiry: Inquiry): Promise<InquiryFinding> =>
    new Promise((resolve) => {
      witness.inquire(inquiry, resolve);
    });
  return { witness, pool, sockets, counts, inquire, stopListening: () => server.close() };
};

/** An inquiry after the process of a moment, in ms. */
const sinceMoment = (moment: number): Inquiry => ({
  at: performance.now(),
  quietSince: moment,
  acceptsFrom: moment + 100,
});

describe('ServerWitness', () => {
  // LOST: sound answers were cut where the server had closed the only connection from before at its idle timeout.
  [
    { name: 'and states none', answer: answerAll },
    {
      name: 'and closes each connection after its answer',
      answer: (socket: net.Socket) => {
        socket.end(OK.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n'));
      },
    },
  ].forEach(({ name, answer }) =>
    it(`keeps evidence beyond the idle timeout of a server that has one of 0.5 s ${name}`, async (context) => {
      const { witness, inquire } = await start(context, { idleMs: 500, answer });
      const moment = performance.now();
      const stop = witness.attend(true);
      await wait(1_300);
      expect(await inquire(sinceMoment(moment))).toEqual('runs');
      stop();
    }),
  );

  // Guards against checks that come more often than the server's timeout needs.
  it('asks once in half of the idle timeout that the server states', async (context) => {
    const { witness, counts } = await start(context, {
      answer: (socket) => {
        socket.write(OK.replace('\r\n\r\n', '\r\nKeep-Alive: timeout=60\r\n\r\n'));
      },
    });
    const stop = witness.attend(true);
    await until(() => counts.checks === 1);
    // A second one may have been due before the answer came.
    await wait(1_000);
    expect(counts.checks <= 2).toEqual(true);
    stop();
  });

  // Guards against checks at servers whose answers will have end marks.
  it('asks nothing for answers that may turn out to have an end mark', async (context) => {
    const { witness, counts } = await start(context);
    const stop = witness.attend(false);
    await wait(700);
    expect(counts).toEqual({ connections: 1, checks: 0 });
    stop();
  });

  // Guards against a cost that grows with the answers under way.
  it('opens one connection for all answers of a server', async (context) => {
    const { witness, counts } = await start(context);
    const stops = Array.from({ length: 20 }, () => witness.attend(true));
    await wait(100);
    expect(counts).toEqual({ connections: 1, checks: 0 });
    stops.forEach((stop) => stop());
  });

  // ORDER: guards against a new start of the server that passes for the process from before.
  it('finds nothing where the server has started again', async (context) => {
    const { witness, sockets, inquire } = await start(context);
    const moment = performance.now();
    const stop = witness.attend(true);
    await wait(400);
    sockets.forEach((socket) => socket.end());
    await wait(400);
    expect(await inquire(sinceMoment(moment))).toEqual('noConnection');
    stop();
  });

  // ORDER: guards against a connection of the early silence that the new start has accepted already.
  it('trusts no connection of the silence once one from before was lost', async (context) => {
    const { witness, sockets, counts, inquire } = await start(context);
    const stop = witness.attend(true);
    await wait(300);
    const moment = performance.now();
    const acceptsFrom = moment + 10_000;
    sockets.forEach((socket) => socket.end());
    await until(() => counts.connections >= 3);
    const at = performance.now();
    expect(await inquire({ at, quietSince: moment, acceptsFrom })).toEqual('noConnection');
    stop();
  });

  // Guards against an answer that was sent before the end and shows nothing about it.
  it('waits for an answer to a check that was sent after the inquiry', async (context) => {
    const waiting: net.Socket[] = [];
    const { witness, counts, inquire } = await start(context, {
      answer: (socket) => {
        waiting.push(socket);
      },
    });
    const moment = performance.now();
    const stop = witness.attend(true);
    await until(() => counts.checks === 1);
    const finding = inquire(sinceMoment(moment));
    await until(() => counts.checks === 2);
    waiting[0]?.write(OK);
    await wait(50);
    let isFound = false;
    finding.then(() => {
      isFound = true;
    });
    await wait(50);
    expect(isFound).toEqual(false);
    waiting[1]?.write(OK);
    expect(await finding).toEqual('runs');
    stop();
  });

  // Guards against evidence that one answer uses up, though others go on.
  it('keeps evidence for the answers that go on after an inquiry', async (context) => {
    const { witness, inquire } = await start(context);
    const moment = performance.now();
    const stops = [witness.attend(true), witness.attend(true)];
    await wait(50);
    expect(await inquire(sinceMoment(moment))).toEqual('runs');
    stops[0]?.();
    expect(await inquire(sinceMoment(moment))).toEqual('runs');
    stops[1]?.();
  });

  // LOST: an answer that began while an earlier one ended found no evidence at its own end.
  it('opens a connection for an answer that begins while the last one is asked', async (context) => {
    const waiting: net.Socket[] = [];
    const { witness, counts, inquire } = await start(context, {
      answer: (socket) => {
        waiting.push(socket);
      },
    });
    const before = performance.now();
    const stopFirst = witness.attend(true);
    await wait(50);
    const first = inquire(sinceMoment(before));
    await until(() => counts.checks === 1);
    const stopSecond = witness.attend(true);
    await until(() => counts.connections === 2);
    waiting[0]?.write(OK);
    expect(await first).toEqual('runs');
    stopFirst();
    stopSecond();
  });

  // LOST: at a server that answers late, one of two inquiries used up the connection that was to succeed the other's.
  it('keeps evidence through inquiries that overlap at a server that answers late', async (context) => {
    const { witness, inquire } = await start(context, {
      answer: (socket) => {
        setTimeout(() => socket.write(OK), 300);
      },
    });
    const moment = performance.now();
    const stops = Array.from({ length: 9 }, () => witness.attend(true));
    await wait(50);
    const findings = stops.slice(1).map(async (stop, index) => {
      await wait(120 * index);
      const finding = await inquire(sinceMoment(moment));
      stop();
      return finding;
    });
    expect(await Promise.all(findings)).toEqual(Array<InquiryFinding>(8).fill('runs'));
    stops[0]?.();
  });

  // Guards against connections without end at a server that wants no more of them.
  it('tries again once in half of the idle timeout where the server resets each connection', async (context) => {
    const { witness, sockets, counts } = await start(context);
    const stop = witness.attend(true);
    const timer = setInterval(() => sockets.forEach((socket) => socket.resetAndDestroy()), 1);
    await wait(600);
    clearInterval(timer);
    expect(counts.connections <= 7).toEqual(true);
    stop();
  });

  // Guards against connections that are closed unused.
  it('gives its connection back to the pool once no answer needs it', async (context) => {
    const { witness, pool, sockets } = await start(context);
    const stop = witness.attend(true);
    await until(() => sockets.size === 1);
    await wait(20);
    stop();
    const socket = [...sockets][0];
    expect(socket?.destroyed).toEqual(false);
    pool.closeIdle();
    await until(() => sockets.size === 0);
  });
});
