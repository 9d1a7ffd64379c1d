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
  signed,
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
const MANY_ANSWER_LINES = Array.from({ length: LINE_COUNT }, (_, at) => `a${at}:\r\n`).join('');
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

  describe(`an answer with more than a thousand header lines over ${way}`, () => {
    const send = (callers: string, path = '/write/x'): Promise<CallerAnswer> =>
      call(callers, { path, method: 'POST', body: 'order' });

    // A sound answer was lost, since its signature was among the lines that were left out.
    it('is passed on whole', async (context) => {
      const { callers } = await start(
        context,
        write((request) =>
          signed(request)
            .replace('200 OK\r\n', `200 OK\r\n${MANY_ANSWER_LINES}`)
            .concat('X-Last: kept\r\nContent-Length: 4\r\n\r\ndone'),
        ),
      );
      const { status, headers, body } = await send(callers);
      expect([status, body, headers['x-last']]).toEqual([200, 'done', 'kept']);
      expect(Object.keys(MANY_LINES).every((_, at) => headers[`a${at}`] === '')).toEqual(true);
    });

    // Guards against an answer with an encoding that its caller takes for the endpoint's own bytes.
    it('is refused if the gateway asked for no such encoding', async (context) => {
      const { callers } = await start(
        context,
        write(
          (request) =>
            `${signed(request)}${MANY_ANSWER_LINES}Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nzzzz`,
        ),
      );
      const { status } = await send(callers);
      expect(status).toEqual(502);
    });

    // What an endpoint had said not to have run was reported to callers as unknown.
    it('says that the request has not run', async (context) => {
      const { callers } = await start(
        context,
        write(
          (request) =>
            'HTTP/1.1 503 Service Unavailable\r\n' +
            `${MANY_ANSWER_LINES}X-Corianderwick-Request-Id: ${request.headers['x-corianderwick-request-id']}\r\n` +
            'X-Corianderwick-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
        ),
      );
      const { status } = await send(callers);
      expect(status).toEqual(503);
    });

    it('is streamed whole', async (context) => {
      const { callers } = await start(
        context,
        write((request) =>
          streamHead(request)
            .replace('200 OK\r\n', `200 OK\r\n${MANY_ANSWER_LINES}`)
            .concat(chunk(event(1)), chunk(event(2)), END),
        ),
      );
      const { status, body, complete } = await send(callers, '/stream/chat');
      expect([status, body, complete]).toEqual([200, event(1) + event(2), true]);
    });
  });
});
