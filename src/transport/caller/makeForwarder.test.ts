import type { ServerResponse } from 'node:http';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import * as Schema from 'effect/Schema';
import { expect } from 'earl';
import { Timing } from '../../state/EntrySettings.ts';
import { callHttp } from '../../../test/support/callHttp.ts';
import { CHUNK, ID, startCallerServer } from '../../../test/support/callerServer.ts';
import { closedAddress, startInlineServer } from '../../../test/support/inlineServer.ts';
import { runScoped } from '../../../test/support/scoped.ts';
import { makeForwarder } from './makeForwarder.ts';
import type { Forwarder, ForwardOutcome } from './makeForwarder.ts';

const NOT_RUN =
  '{"error":{"code":"overloaded","message":"","type":"not_run_error","outcome":"not-run","retry_after_ms":900}}';

const makeTestForwarder = (context: TestContext): Promise<Forwarder> =>
  runScoped(
    context,
    makeForwarder({ timing: Schema.decodeUnknownSync(Timing)({}), now: () => performance.now() }),
  );

interface HomeFault {
  readonly name: string;
  readonly home: (response: ServerResponse) => void;
  readonly status: number;
  /** Text that the caller's answer holds; undefined where the answer must break off. */
  readonly holds: string | undefined;
}

const stream = (response: ServerResponse): ServerResponse =>
  response.writeHead(200, { 'content-type': 'text/event-stream' });

const HOME_FAULTS: readonly HomeFault[] = [
  {
    name: 'no fault and a whole answer',
    home: (response) => response.writeHead(200, { 'content-type': 'text/plain' }).end('held'),
    status: 200,
    holds: 'held',
  },
  {
    name: 'no fault and a stream',
    home: (response) => stream(response).end(`id: 1\ndata: ${CHUNK}\n\ndata: [DONE]\n\n`),
    status: 200,
    holds: `id: 1\ndata: ${CHUNK}\n\ndata: [DONE]\n\n`,
  },
  {
    name: 'a refusal of its own',
    home: (response) =>
      response.writeHead(503, { 'x-outcome': 'not-run', 'retry-after': '1' }).end(NOT_RUN),
    status: 503,
    holds: NOT_RUN,
  },
  {
    name: 'a connection broken before the head',
    home: (response) => response.destroy(),
    status: 502,
    holds: '"code":"entry_lost"',
  },
  {
    name: 'a stream that ends without its end mark',
    home: (response) => stream(response).end(`id: 1\ndata: ${CHUNK}\n\n`),
    status: 200,
    holds: undefined,
  },
  {
    name: 'an event without an end',
    home: (response) => {
      const piece = `data: ${'x'.repeat(600_000)}`;
      stream(response).write(piece, () => response.write(piece, () => response.end(piece)));
    },
    status: 200,
    holds: undefined,
  },
  {
    name: 'a stream that is cut',
    home: (response) =>
      stream(response).write(`id: 1\ndata: ${CHUNK}\n\n`, () => response.destroy()),
    status: 200,
    holds: undefined,
  },
];

HOME_FAULTS.forEach(({ name, home, status, holds }) => {
  test(`a home with ${name} is told to the caller as ${holds === undefined ? 'broken off' : status}`, async (context) => {
    const server = await startInlineServer(context, (_request, response) => home(response));
    const forwarder = await makeTestForwarder(context);
    const outcomes: ForwardOutcome[] = [];
    const { address } = await startCallerServer(context, (request, answer) => {
      const homeAddress = server.address.replace('http://', '');
      forwarder.forward(homeAddress, request, ID, answer, (outcome) => outcomes.push(outcome));
    });
    const call = callHttp(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: 'Bearer key', 'x-deadline-ms': '60000' },
    });
    if (holds === undefined) await expect(call).toBeRejected();
    else {
      const result = await call;
      expect([result.status, result.body.includes(holds)]).toEqual([status, true]);
    }
    expect(outcomes).toEqual([{ _tag: 'answered' }]);
    const [seen] = server.seen;
    expect(seen?.headers['x-corianderwick-forwarded']).toEqual('1');
    expect(seen?.headers['x-request-id']).toEqual(ID);
    expect(seen?.headers.authorization).toEqual('Bearer key');
  });
});

test('a home that refuses the connection leaves the answer to the process', async (context) => {
  const home = (await closedAddress()).replace('http://', '');
  const forwarder = await makeTestForwarder(context);
  const { address } = await startCallerServer(context, (request, answer) => {
    forwarder.forward(home, request, ID, answer, (outcome) => {
      if (outcome._tag === 'unreachable') answer.sendNotRun('entry_lost', 500);
    });
  });
  expect((await callHttp(`http://${address}/services/x`)).body).toMatchRegex(/"code":"entry_lost"/);
});

test('a forwarding that is abandoned before an answer leaves the answer to the process', async (context) => {
  const server = await startInlineServer(context, () => {});
  const forwarder = await makeTestForwarder(context);
  const { address } = await startCallerServer(context, (request, answer) => {
    const homeAddress = server.address.replace('http://', '');
    const forwarding = forwarder.forward(homeAddress, request, ID, answer, () => {});
    setTimeout(() => {
      if (forwarding.abandon()) answer.sendUnknownOutcome('entry_lost');
    }, 20);
  });
  expect((await callHttp(`http://${address}/services/x`)).status).toEqual(502);
});
