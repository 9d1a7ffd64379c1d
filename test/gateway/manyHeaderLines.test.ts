import * as http from 'node:http';
import { describe, it, type TestContext } from 'node:test';
import { expect } from 'earl';
import { startCutPair } from './startCutPair.ts';
import {
  call,
  makeConfiguration,
  runnerSpec,
  startReadyGateway,
  type CallerAnswer,
  type CallerInput,
} from './startGateway.ts';
import {
  answer,
  chunk,
  END,
  event,
  startRunner,
  streamHead,
  type ArrivedRequest,
  type RunnerScript,
  type RunnerStandIn,
} from './startRunner.ts';

/** More than Node's parser keeps unless told otherwise, in fewer bytes than the limit of the configuration. */
const LINE_COUNT = 1_500;
const CONFIGURATION = makeConfiguration(7, {
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 1_000,
    header_timeout_ms: 500,
    idle_timeout_ms: 5_000,
  },
});
const MANY_LINES = Object.fromEntries(
  Array.from({ length: LINE_COUNT }, (_, index) => [`c${index}`, '']),
);
const NAMED = {
  'x-corianderwick-model': 'm',
  'x-corianderwick-token-count': '10,10',
  'x-corianderwick-prompt-prefix': 'aa:6,bb:4',
};

interface Path {
  readonly callers: string;
  readonly runner: RunnerStandIn;
}

/** The ways that a request may take to its runner. */
const PATHS: Record<string, (context: TestContext, script: RunnerScript) => Promise<Path>> = {
  'its own connection': async (context, script) => {
    const runner = await startRunner(context, script);
    const specs = { 'i-1': runnerSpec('plain', runner), 'i-2': runnerSpec('model', runner) };
    const { gateway } = await startReadyGateway(context, specs, CONFIGURATION);
    return { callers: gateway.addresses.callers, runner };
  },
  'a peer': async (context, script) => {
    const { cut, runner } = await startCutPair(context, script, CONFIGURATION);
    return { callers: cut.gateway.addresses.callers, runner };
  },
};

const isAsSent = ({ headers, body }: ArrivedRequest, sent: string): boolean =>
  body === sent &&
  Object.entries({ ...MANY_LINES, ...NAMED }).every(([name, value]) => headers[name] === value);

const write =
  (text: (request: ArrivedRequest) => string): RunnerScript =>
  (request) => {
    request.socket.write(text(request));
  };

Object.entries(PATHS).forEach(([way, start]) => {
  describe(`a request with more than a thousand header lines over ${way}`, () => {
    const send = (callers: string, more: Partial<CallerInput> = {}): Promise<CallerAnswer> => {
      const headers = { ...MANY_LINES, ...NAMED, ...more.headers };
      return call(callers, { path: '/write/x', method: 'POST', body: 'order', ...more, headers });
    };

    // UNASKED: lines beyond the parser's count were left out in silence, and the body with its length among them.
    it('reaches its endpoint as its caller sent it', async (context) => {
      const { callers, runner } = await start(
        context,
        write((request) => answer(request, 'done')),
      );
      const { status, body } = await send(callers);
      expect([status, body]).toEqual([200, 'done']);
      expect(runner.arrived.map((arrived) => isAsSent(arrived, 'order'))).toEqual([true]);
    });

    it('reaches its endpoint so with a body in chunks', async (context) => {
      const { callers, runner } = await start(
        context,
        write((request) => answer(request, 'done')),
      );
      const { status } = await send(callers, { headers: { 'transfer-encoding': 'chunked' } });
      expect(status).toEqual(200);
      expect(runner.arrived.map((arrived) => isAsSent(arrived, 'order'))).toEqual([true]);
    });

    it('reaches its endpoint so on a connection that has carried others', async (context) => {
      const { callers, runner } = await start(
        context,
        write((request) => answer(request, 'done')),
      );
      const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
      context.after(() => agent.destroy());
      for (const body of ['first', 'second', 'third']) await send(callers, { agent, body });
      expect(runner.arrived.map(({ body }) => body)).toEqual(['first', 'second', 'third']);
      expect(runner.arrived.every((arrived) => isAsSent(arrived, arrived.body))).toEqual(true);
    });

    it('is streamed as its caller sent it', async (context) => {
      const { callers, runner } = await start(
        context,
        write((request) => streamHead(request) + chunk(event(1)) + END),
      );
      const { status, body, complete } = await send(callers, { path: '/stream/chat' });
      expect([status, body, complete]).toEqual([200, event(1), true]);
      expect(runner.arrived.map((arrived) => isAsSent(arrived, 'order'))).toEqual([true]);
    });
  });
});
