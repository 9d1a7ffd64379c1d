import type { Socket } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { until } from '../support/scoped.ts';
import { call, makeConfiguration, runnerSpec, startReadyGateway } from './startGateway.ts';
import { signed, startRunner, streamHead, type ArrivedRequest } from './startRunner.ts';

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
});
