import type { Socket } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { until } from '../support/scoped.ts';
import { call, makeConfiguration, runnerSpec, startReadyGateway } from './startGateway.ts';
import {
  answer,
  event,
  notRun,
  signed,
  startRunner,
  streamHead,
  type ArrivedRequest,
} from './startRunner.ts';

const BLOCK_BYTES = 16 * 1024;
/** Far above what any of these answers may take, and far below what a second of loopback carries. */
const MAXIMUM_READ_BYTES = 24 * 1024 * 1024;

/** Sends bytes until the connection closes, as fast as they are taken. */
const sendWithoutEnd = (socket: Socket, first: string, block: string): void => {
  const repeated = block.repeat(Math.ceil(BLOCK_BYTES / block.length));
  const send = (): void => {
    while (!socket.destroyed && socket.write(repeated, 'latin1'));
  };
  socket.on('drain', send);
  socket.write(first, 'latin1');
  send();
};

const ENDLESS: readonly {
  readonly name: string;
  readonly first: (request: ArrivedRequest) => string;
  readonly block: string;
}[] = [
  { name: 'no head at all', first: () => '', block: 'x' },
  { name: 'empty lines before a head', first: () => '', block: '\r\n' },
  { name: 'a head of many lines', first: (request) => signed(request), block: 'X-Line: 1\r\n' },
  { name: 'one line of a head', first: (request) => `${signed(request)}X-Line: `, block: 'x' },
  { name: 'interim answers', first: () => '', block: 'HTTP/1.1 102 Processing\r\n\r\n' },
  { name: 'a body without a length', first: (request) => `${signed(request)}\r\n`, block: 'x' },
  {
    name: 'a chunk size',
    first: (request) => `${signed(request, '200 OK', 'Transfer-Encoding: chunked\r\n')}\r\n`,
    block: '0',
  },
  {
    name: 'a chunk extension',
    first: (request) => `${signed(request, '200 OK', 'Transfer-Encoding: chunked\r\n')}\r\n1;`,
    block: 'x',
  },
  {
    name: 'trailers',
    first: (request) =>
      `${signed(request, '200 OK', 'Transfer-Encoding: chunked\r\n')}\r\n1\r\nx\r\n0\r\n`,
    block: 'X-Line: 1\r\n',
  },
];

/** The size of an answer is what ends it, not the time that reading it takes. */
const withLongTimeout = ({ routes, ...rest }: Record<string, unknown>) => ({
  ...rest,
  routes: (routes as object[]).map((route) => ({ ...route, timeout_ms: 30_000 })),
});

/** The size of an answer is what ends it here, too, not the time that the caller waits. */
const LONG_DEADLINE = { 'x-corianderwick-deadline-ms': '30000' };
/** Far below that time. */
const SOON_MS = 15_000;

describe('a gateway before an endpoint that sends bytes without end', () => {
  ENDLESS.forEach(({ name, first, block }) =>
    ['/write/', '/stream/', '/resumed/'].forEach((path) =>
      // Guards against memory, processor time and a slot that such an answer takes to the deadline.
      it(`soon closes the connection and fails the request: ${name}, ${path}`, async (context) => {
        const sockets: Socket[] = [];
        const runner = await startRunner(context, (request) => {
          sockets.push(request.socket);
          sendWithoutEnd(request.socket, first(request), block);
        });
        const service = path === '/write/' ? 'plain' : 'model';
        const { gateway } = await startReadyGateway(context, {
          'i-1': runnerSpec(service, runner),
        });
        const got = await call(gateway.addresses.callers, { path, method: 'POST' });
        expect(got.complete && got.status === 200).toEqual(false);
        await until(() => sockets.every(({ destroyed }) => destroyed));
        sockets.forEach(({ bytesWritten }) =>
          expect(bytesWritten).toBeLessThan(MAXIMUM_READ_BYTES),
        );
      }),
    ),
  );

  it('closes a stream whose event has no end, and passes nothing of it on', async (context) => {
    const runner = await startRunner(context, (request) => {
      const { socket } = request;
      sendWithoutEnd(
        socket,
        `${streamHead(request)}4000\r\n${'d'.repeat(0x4000)}\r\n`,
        `4\r\nabcd\r\n`,
      );
    });
    const { gateway } = await startReadyGateway(
      context,
      { 'i-1': runnerSpec('model', runner) },
      withLongTimeout(makeConfiguration(7)),
    );
    const got = await call(gateway.addresses.callers, { path: '/stream/', method: 'POST' });
    expect([got.status, got.body]).toEqual([502, '']);
  });

  // LOST: each answer had a bound, but all of them together took more memory than the process has.
  it('holds a bounded part of many such answers, and serves the requests of other endpoints', async (context) => {
    const PART = 6 * 1024 * 1024;
    const sockets: Socket[] = [];
    const greedy = await startRunner(context, ({ socket, headers }) => {
      sockets.push(socket);
      socket.write(`${signed({ headers }, '200 OK', 'Content-Length: 9999999\r\n')}\r\n`);
      socket.write('x'.repeat(PART));
    });
    const sound = await startRunner(context, (request) => {
      request.socket.write(answer(request, event(1)));
    });
    const { gateway } = await startReadyGateway(
      context,
      {
        'i-1': runnerSpec('plain', greedy, { slots: 100 }),
        'i-2': runnerSpec('model', sound),
      },
      withLongTimeout(makeConfiguration(7)),
    );
    const { callers } = gateway.addresses;
    const startedAt = performance.now();
    const pending = Array.from({ length: 30 }, () =>
      call(callers, { path: '/write/', headers: LONG_DEADLINE }),
    );
    await until(() => sockets.length === 30);
    await until(() => sockets.filter(({ destroyed }) => destroyed).length >= 25);
    const other = await call(callers, { path: '/stream/' });
    expect([other.status, other.body]).toEqual([200, event(1)]);
    expect(sockets.filter(({ destroyed }) => !destroyed).length).toBeLessThan(6);
    expect(performance.now() - startedAt).toBeLessThan(SOON_MS);
    sockets.forEach((socket) => socket.destroy());
    const ended = await Promise.all(pending);
    expect(ended.every(({ status }) => status === 502)).toEqual(true);
  });

  // LOST: each chunk took more than a hundred bytes of the heap, which ended the process.
  ['/write/', '/stream/'].forEach((path) =>
    it(`soon gives up a body in chunks of one byte: ${path}`, async (context) => {
      const sockets: Socket[] = [];
      const runner = await startRunner(context, (request) => {
        sockets.push(request.socket);
        sendWithoutEnd(request.socket, streamHead(request), '1\r\nx\r\n');
      });
      const service = path === '/write/' ? 'plain' : 'model';
      const { gateway } = await startReadyGateway(
        context,
        { 'i-1': runnerSpec(service, runner) },
        withLongTimeout(makeConfiguration(7)),
      );
      const got = await call(gateway.addresses.callers, { path, headers: LONG_DEADLINE });
      expect(got.status).toEqual(502);
      await until(() => sockets.every(({ destroyed }) => destroyed));
      sockets.forEach(({ bytesWritten }) => expect(bytesWritten).toBeLessThan(MAXIMUM_READ_BYTES));
    }),
  );

  // Guards against a caller who waits to the deadline though the head says that the request has not run.
  ['/write/', '/stream/'].forEach((path) =>
    it(`takes the head of a refusal for true at once, and closes the connection: ${path}`, async (context) => {
      const sockets: Socket[] = [];
      const runner = await startRunner(context, ({ socket }) => {
        sockets.push(socket);
        const head = notRun().replace('Content-Length: 0\r\n', '');
        sendWithoutEnd(socket, head, 'x');
      });
      const service = path === '/write/' ? 'plain' : 'model';
      const { gateway } = await startReadyGateway(
        context,
        { 'i-1': runnerSpec(service, runner) },
        withLongTimeout(makeConfiguration(7)),
      );
      const { status } = await call(gateway.addresses.callers, { path, method: 'POST' });
      expect(status).toEqual(503);
      await until(() => sockets.every(({ destroyed }) => destroyed));
      sockets.forEach(({ bytesWritten }) => expect(bytesWritten).toBeLessThan(MAXIMUM_READ_BYTES));
    }),
  );
});
