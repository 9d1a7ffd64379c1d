import * as http from 'node:http';
import * as net from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe, it, type TestContext } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { expect } from 'earl';
import { until } from '../support/scoped.ts';
import { startCutGateways } from './startCutPair.ts';
import {
  call,
  HOST,
  KEY,
  makeConfiguration,
  runnerSpec,
  startReadyGateway,
} from './startGateway.ts';
import { event, signed, startRunner, unframedStreamHead, type RequestHead } from './startRunner.ts';

/** Much of it is unread in the kernel when the runner answers. */
const LONG = 'x'.repeat(3_000_000);
/** More than the kernel takes, so that it is still being written when the runner answers. */
const ENDLESS = 'x'.repeat(32_000_000);
const CONFIGURATION = makeConfiguration(7, {
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 40_000_000,
    header_timeout_ms: 500,
    idle_timeout_ms: 5_000,
  },
});
const RUNS = 5;

type Cut = (socket: net.Socket, part: string) => void;

/** How a runner cuts its answer off. */
const RESETS: Readonly<Record<string, Cut>> = {
  'resets at once': (socket, part) => {
    socket.write(part);
    socket.resetAndDestroy();
  },
  'resets a little later': (socket, part) => {
    socket.write(part);
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
  'closes with bytes unread': (socket, part) => socket.write(part, () => socket.destroy()),
  'reads on for a while and resets': (socket, part) => {
    socket.write(part);
    socket.resume();
    setTimeout(() => socket.resetAndDestroy(), 4);
  },
};

const HEADS: Readonly<Record<string, (request: RequestHead) => string>> = {
  'no length': (request) => `${signed(request)}\r\n`,
  'no coding': (request) => `${signed(request, '200 OK', 'Transfer-Encoding: identity\r\n')}\r\n`,
};

/** Starts a runner that answers as soon as it has read a head, and cuts the answer off. It answers small requests whole. */
const startHastyRunner = async (
  context: TestContext,
  partOf: (request: RequestHead) => string,
  cut: Cut,
): Promise<{ readonly address: string }> => {
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (bytes) => {
      const head = bytes.toString('latin1').split('\r\n\r\n')[0] ?? '';
      if (!head.includes('HTTP/1.1')) return;
      const id = /x-corianderwick-request-id: (.*)/i.exec(head)?.[1] ?? '';
      const request = { headers: { 'x-corianderwick-request-id': id } };
      if (/content-length: \d{5}/i.test(head)) {
        socket.pause();
        cut(socket, partOf(request));
      } else socket.write(`${signed(request)}Content-Length: 5\r\n\r\nwhole`);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => server.close());
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
};

type Runner = Awaited<ReturnType<typeof startHastyRunner>>;

/** The ways that a request may take to its runner; each returns the address for callers. */
const WAYS: Readonly<Record<string, (context: TestContext, runner: Runner) => Promise<string>>> = {
  'its own connection': async (context, runner) => {
    const specs = { 'i-1': runnerSpec('plain', runner), 'i-2': runnerSpec('model', runner) };
    const { gateway } = await startReadyGateway(context, specs, CONFIGURATION);
    return gateway.addresses.callers;
  },
  'a peer': async (context, runner) => {
    const { cut } = await startCutGateways(context, runner, CONFIGURATION);
    return cut.gateway.addresses.callers;
  },
};

const upload = (callers: string, path: string, body = LONG) =>
  call(callers, {
    path,
    method: 'POST',
    body,
    headers: { 'x-corianderwick-token-count': '10,10' },
  });

Object.entries(WAYS).forEach(([way, start]) => {
  describe(`an early answer to a long upload over ${way}`, () => {
    Object.entries(HEADS).forEach(([framing, headOf]) =>
      Object.entries(RESETS).forEach(([ending, cut]) => {
        // MIXED: the part that had arrived before the reset came to its caller as a whole answer.
        it(`with ${framing} never looks whole if its runner ${ending}`, async (context) => {
          const runner = await startHastyRunner(context, (r) => `${headOf(r)}part of it`, cut);
          const callers = await start(context, runner);
          for (let run = 0; run < RUNS; run += 1) {
            const { status, body } = await upload(callers, '/write/order');
            expect([status, body]).toEqual([502, '']);
          }
        });
      }),
    );

    Object.entries(RESETS).forEach(([ending, cut]) =>
      it(`never looks complete as a stream without a length whose runner ${ending}`, async (context) => {
        const runner = await startHastyRunner(
          context,
          (request) => unframedStreamHead(request) + event(1) + event(2),
          cut,
        );
        const callers = await start(context, runner);
        for (let run = 0; run < RUNS; run += 1) {
          const { status, complete } = await upload(callers, '/stream/chat');
          expect(status === 200 && complete).toEqual(false);
        }
      }),
    );

    it('never looks whole on a connection that has carried whole answers', async (context) => {
      const runner = await startHastyRunner(
        context,
        (request) => `${signed(request)}\r\npart of it`,
        (socket, part) => {
          socket.write(part);
          socket.resetAndDestroy();
        },
      );
      const callers = await start(context, runner);
      const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
      context.after(() => agent.destroy());
      for (let run = 0; run < RUNS; run += 1) {
        const input = { path: '/write/order', method: 'POST', agent };
        const small = await call(callers, { ...input, body: 'order' });
        const long = await call(callers, { ...input, body: LONG });
        expect([small.status, small.body, long.status, long.body]).toEqual([200, 'whole', 502, '']);
      }
    });

    // The end of a connection that carries the rest of a request marks no end of an answer.
    it('never looks whole if its connection ends while the request is still being written', async (context) => {
      const runner = await startHastyRunner(
        context,
        (request) => `${signed(request)}\r\npart of it`,
        (socket, part) => {
          socket.end(part);
          setTimeout(() => socket.resetAndDestroy(), 20);
        },
      );
      const callers = await start(context, runner);
      const { status, body } = await upload(callers, '/write/order', ENDLESS);
      expect([status, body]).toEqual([502, '']);
    });
  });
});

describe('a cut answer to a long upload that may run twice', () => {
  Object.entries(RESETS).forEach(([ending, cut]) =>
    it(`is replaced by a whole one if the first runner ${ending}`, async (context) => {
      const hasty = await startHastyRunner(
        context,
        (request) => `${signed(request)}\r\npart of it`,
        cut,
      );
      const sound = await startRunner(context, (request) =>
        request.socket.write(`${signed(request)}Content-Length: 5\r\n\r\nwhole`),
      );
      const specs = { 'i-1': runnerSpec('plain', hasty), 'i-2': runnerSpec('plain', sound) };
      const { gateway } = await startReadyGateway(context, specs, CONFIGURATION);
      for (let run = 0; run < RUNS; run += 1) {
        const { status, body } = await upload(gateway.addresses.callers, '/read/record');
        expect([status, body]).toEqual([200, 'whole']);
      }
    }),
  );
});

describe('a stream whose caller reads slowly', () => {
  (['reset', 'end'] as const).forEach((ending) =>
    // Guards against a reset that arrives while the gateway leaves its bytes unread.
    it(`looks complete only if its runner ends it in order: ${ending}`, async (context) => {
      const events = Array.from({ length: 20_000 }, (_, at) => event(at)).join('');
      const runner = await startRunner(context, (request) => {
        request.socket.write(unframedStreamHead(request) + events, () => {
          if (ending === 'reset') request.socket.resetAndDestroy();
          else request.socket.end();
        });
      });
      const specs = { 'i-1': runnerSpec('model', runner) };
      const { gateway } = await startReadyGateway(context, specs, CONFIGURATION);
      const [host, port] = gateway.addresses.callers.split(':');
      const socket = net.connect(Number(port), host);
      context.after(() => socket.destroy());
      socket.on('error', () => {});
      let text = '';
      socket.pause();
      socket.write(
        `POST /stream/chat HTTP/1.1\r\nHost: ${HOST}\r\nX-Corianderwick-Request-Id: slow\r\n` +
          `X-Corianderwick-Key: ${KEY}\r\nX-Corianderwick-Token-Count: 10,10\r\nContent-Length: 0\r\n\r\n`,
      );
      await wait(300);
      socket.on('data', (bytes) => {
        text += bytes.toString('latin1');
      });
      const isOver = (): boolean => socket.destroyed || text.endsWith('\r\n0\r\n\r\n');
      socket.resume();
      await until(isOver);
      expect(text.slice(0, 12)).toEqual('HTTP/1.1 200');
      expect(text.endsWith('\r\n0\r\n\r\n')).toEqual(ending === 'end');
    }),
  );
});
