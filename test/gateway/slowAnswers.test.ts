import * as net from 'node:net';
import { describe, it, type TestContext } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { expect } from 'earl';
import {
  call,
  HOST,
  KEY,
  makeConfiguration,
  runnerSpec,
  startReadyGateway,
} from './startGateway.ts';
import {
  chunk,
  END,
  event,
  startRunner,
  streamHead,
  type ArrivedRequest,
  type RunnerScript,
} from './startRunner.ts';

/** Routes whose callers wait 2 s for an event. */
const ROUTES = (makeConfiguration(7).routes as readonly object[]).map((route) => ({
  ...route,
  timeout_ms: 8_000,
  target_latency_ms: 100,
  gap_aim_ms: 100,
}));
const LIMIT_MS = 2_000;
const DEADLINE = { 'x-corianderwick-deadline-ms': '8000' };

const start = async (context: TestContext, ...scripts: readonly RunnerScript[]) => {
  const runners = await Promise.all(scripts.map((script) => startRunner(context, script)));
  const specs = runners.map(
    (runner, index) => [`i-${index}`, runnerSpec('model', runner)] as const,
  );
  const limits = { ...(makeConfiguration(7).limits as object), idle_timeout_ms: 300 };
  const configuration = makeConfiguration(7, { routes: ROUTES, limits });
  const { gateway } = await startReadyGateway(context, Object.fromEntries(specs), configuration);
  return { runners, callers: gateway.addresses.callers };
};

/** A stream that brings one event, and then these bytes again and again. */
const dripping =
  (text: string): RunnerScript =>
  ({ socket, ...request }) => {
    socket.write(streamHead({ ...request, socket }) + chunk(event(1)));
    const timer = setInterval(() => socket.write(chunk(text)), 100);
    socket.once('close', () => clearInterval(timer));
  };

const write =
  (text: (request: ArrivedRequest) => string): RunnerScript =>
  (request) => {
    request.socket.write(text(request));
  };

describe('a slow stream through a gateway', { concurrency: true }, () => {
  const DRIPS = [
    { name: 'comments', text: ': still here\n\n' },
    { name: 'single bytes', text: 'a' },
  ];
  DRIPS.forEach(({ name, text }) =>
    // Guards against a stalled stream that never ends because bytes arrive.
    it(`ends if it brings ${name} and no event`, async (context) => {
      const { callers } = await start(context, dripping(text));
      const before = performance.now();
      const got = await call(callers, { path: '/stream/', method: 'POST', headers: DEADLINE });
      expect([got.status, got.complete]).toEqual([200, false]);
      expect(performance.now() - before).toBeLessThan(2 * LIMIT_MS);
    }),
  );

  it('goes on elsewhere if it may', async (context) => {
    const { callers, runners } = await start(
      context,
      dripping(': still here\n\n'),
      write((request) => streamHead(request) + chunk(event(2)) + END),
    );
    const got = await call(callers, { path: '/resumed/', method: 'POST', headers: DEADLINE });
    expect([got.complete, got.body.replaceAll(': still here\n\n', '')]).toEqual([
      true,
      event(1) + event(2),
    ]);
    expect(runners[1]?.arrived[0]?.headers['last-event-id']).toEqual('1');
  });

  // Guards against a healthy stream that is cut because the time counts from its start, or from its target.
  it('is passed on while each event comes in time', async (context) => {
    const { callers } = await start(context, async (request) => {
      request.socket.write(streamHead(request));
      for (let id = 1; id <= 3; id += 1) {
        // eslint-disable-next-line no-await-in-loop
        await wait(0.7 * LIMIT_MS);
        request.socket.write(chunk(event(id)));
      }
      request.socket.write(END);
    });
    const got = await call(callers, { path: '/stream/', method: 'POST', headers: DEADLINE });
    expect([got.complete, got.body]).toEqual([true, event(1) + event(2) + event(3)]);
  });

  // Guards against a healthy stream that is cut because its caller reads slowly.
  it('is passed on to a caller that reads nothing for longer than the limit', async (context) => {
    const size = 8 * 1024 * 1024;
    const large = `id: 1\ndata: ${'x'.repeat(256 * 1024)}\n\n`;
    const count = size / large.length;
    const { callers } = await start(
      context,
      write((request) => streamHead(request) + chunk(large).repeat(count) + END),
    );
    const [host, port] = callers.split(':');
    const caller = net.connect(Number(port), host);
    context.after(() => caller.destroy());
    caller.write(
      `POST /stream/ HTTP/1.1\r\nHost: ${HOST}\r\nX-Corianderwick-Request-Id: slow\r\nX-Corianderwick-Key: ${KEY}\r\n\r\n`,
    );
    caller.pause();
    await wait(1.5 * LIMIT_MS);
    let got = 0;
    let last = '';
    caller.on('data', (bytes) => {
      got += bytes.length;
      last = (last + bytes.toString('latin1')).slice(-END.length);
    });
    caller.resume();
    while (last !== END && !caller.destroyed) {
      // eslint-disable-next-line no-await-in-loop
      await wait(20);
    }
    expect(last).toEqual(END);
    expect(got).toBeGreaterThan(Math.floor(count) * large.length);
  });

  const POST = `POST /write/ HTTP/1.1\r\nHost: ${HOST}\r\nX-Corianderwick-Request-Id: body\r\nX-Corianderwick-Key: ${KEY}\r\nContent-Length: 10\r\n\r\n`;
  // Guards against connections that are held forever by callers that cease to send.
  it('is not waited for if the body of its request ceases to arrive', async (context) => {
    const { callers } = await start(context);
    const [host, port] = callers.split(':');
    const caller = net.connect(Number(port), host);
    context.after(() => caller.destroy());
    let got = '';
    caller.on('data', (bytes) => {
      got += bytes.toString('latin1');
    });
    caller.write(POST);
    // Slower than the limit as a whole, but not between two bytes.
    for (let sent = 0; sent < 4; sent += 1) {
      // eslint-disable-next-line no-await-in-loop
      await wait(150);
      expect(got).toEqual('');
      caller.write('x');
    }
    await wait(600);
    expect(got).toInclude('408');
  });
});
