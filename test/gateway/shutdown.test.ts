import * as net from 'node:net';
import { describe, it, type TestContext } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { expect } from 'earl';
import { HOST, KEY, makeConfiguration, runnerSpec, startReadyGateway } from './startGateway.ts';
import { answer, chunk, END, event, startRunner, streamHead } from './startRunner.ts';

/** Time after the start of a drain at which connections without requests are closed. */
const IDLE_CLOSED_MS = 2_000;

const head = (path: string, more = ''): string =>
  `POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\nX-Corianderwick-Request-Id: last\r\nX-Corianderwick-Key: ${KEY}\r\n${more}\r\n`;

/** A gateway before a plain endpoint and an engine, and a connection of a caller. */
const start = async (context: TestContext) => {
  const runner = await startRunner(context, (request) => {
    if (request.line.includes('/stream/')) {
      request.socket.write(streamHead(request) + chunk(event(1)));
      setTimeout(() => request.socket.write(END), IDLE_CLOSED_MS + 100);
    } else request.socket.write(answer(request, 'hello'));
  });
  const configuration = makeConfiguration(7);
  const routes = (configuration.routes as readonly object[]).map((route) => ({
    ...route,
    timeout_ms: 10_000,
  }));
  const limits = { ...(configuration.limits as object), header_timeout_ms: 10_000 };
  const { gateway } = await startReadyGateway(
    context,
    { 'i-1': runnerSpec('plain', runner), 'i-2': runnerSpec('model', runner) },
    { ...configuration, limits, routes },
  );
  const [host, port] = gateway.addresses.callers.split(':');
  const caller = net.connect(Number(port), host);
  let got = '';
  const ended = new Promise<void>((resolve) => {
    caller.on('data', (bytes) => {
      got += bytes.toString('latin1');
    });
    caller.on('error', () => {});
    caller.on('close', () => resolve());
  });
  await new Promise((resolve) => {
    caller.once('connect', resolve);
  });
  return { gateway, runner, caller, ended, got: () => got };
};

// Each guards against a request that a planned shutdown cuts off without an answer.
describe('a gateway that is asked to stop', () => {
  it('answers a request whose head it had read in part', async (context) => {
    const { gateway, caller, ended, got } = await start(context);
    const text = head('/write/1');
    caller.write(text.slice(0, 30));
    await wait(100);
    const stopped = gateway.stop();
    await wait(IDLE_CLOSED_MS + 200);
    caller.write(text.slice(30));
    await ended;
    expect(got()).toInclude('HTTP/1.1 200');
    expect(got()).toInclude('Connection: close');
    await stopped;
  });

  it('answers a request that follows at once on a stream that it has completed', async (context) => {
    const { gateway, caller, ended, got } = await start(context);
    caller.write(head('/stream/1'));
    caller.on('data', (bytes) => {
      if (bytes.includes(END)) setTimeout(() => caller.write(head('/write/1')), 60);
    });
    await wait(100);
    const stopped = gateway.stop();
    await ended;
    expect(got().split('HTTP/1.1 200').length - 1).toEqual(2);
    await stopped;
  });

  const UNREAD = [
    { part: 'head', text: head('/write/1').slice(0, -10) },
    { part: 'body', text: `${head('/write/1', 'Content-Length: 9\r\n')}half` },
  ];
  UNREAD.forEach(({ part, text }) =>
    it(`says truthfully that a request has not run whose ${part} isn't complete at its end`, async (context) => {
      const { gateway, runner, caller, ended, got } = await start(context);
      caller.write(text);
      await wait(100);
      const stopped = gateway.stop();
      await ended;
      expect(got()).toInclude('HTTP/1.1 503');
      expect(runner.arrived).toEqual([]);
      await stopped;
    }),
  );
});
