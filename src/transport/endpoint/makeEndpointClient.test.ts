import { performance } from 'node:perf_hooks';
import type { ServerResponse } from 'node:http';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import { expect } from 'earl';
import type {
  EndpointCall,
  EndpointClient,
  EndpointEvent,
  EndpointRequest,
} from '../../protocol/engine/EndpointClient.ts';
import { EntryLimits, EntryTiming } from '../../state/EntrySettings.ts';
import { closedAddress, startInlineServer } from '../../../test/support/inlineServer.ts';
import type { InlineServer, SeenRequest } from '../../../test/support/inlineServer.ts';
import { runScoped, until } from '../../../test/support/scoped.ts';
import { makeEndpointClient } from './makeEndpointClient.ts';

const ID = 'abcdefgh.1';
const LIMITS = Schema.decodeUnknownSync(EntryLimits)({});
// Only rows about silence may run into it, however slow the machine is.
const TIMING = Schema.decodeUnknownSync(EntryTiming)({ streamSilenceMs: 60_000 });
const SHORT_SILENCE_MS = 250;

const makeClient = (
  context: TestContext,
  streamSilenceMs = TIMING.streamSilenceMs,
): Promise<EndpointClient> =>
  runScoped(
    context,
    makeEndpointClient({
      timing: { ...TIMING, streamSilenceMs },
      limits: LIMITS,
      now: () => performance.now(),
    }),
  );

const requestTo = (address: string, change: Partial<EndpointRequest> = {}): EndpointRequest => ({
  id: ID,
  address,
  version: 'v1',
  method: 'POST',
  path: '/v1/chat/completions',
  headers: { 'content-type': 'application/json' },
  body: Buffer.from('{}'),
  responseForm: 'events',
  idempotent: false,
  engine: true,
  ...change,
});

const chunk = (index: number, id = ID): string =>
  `id: ${index}\ndata: {"id":"${id}","choices":[{"delta":{"content":"t${index}"}}]}\n\n`;
const USAGE_CHUNK = `id: 4\ndata: {"id":"${ID}","usage":{"prompt_tokens":7,"completion_tokens":3}}\n\n`;
const DONE = 'data: [DONE]\n\n';

const stream = (response: ServerResponse, id = ID): ServerResponse =>
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': id });

const tagsOf = (events: readonly EndpointEvent[]): string =>
  events
    .map((event) => {
      switch (event._tag) {
        case 'event':
          return String(event.index);
        case 'failed':
          return event.reason;
        case 'resumed':
          return `resumed>${event.afterIndex}`;
        default:
          return event._tag;
      }
    })
    .join(' ');

const isLast = ({ _tag }: EndpointEvent): boolean => ['ended', 'failed', 'refused'].includes(_tag);

const collect = async (
  client: EndpointClient,
  request: EndpointRequest,
  during: (call: EndpointCall, events: readonly EndpointEvent[]) => Promise<void> = async () => {},
): Promise<readonly EndpointEvent[]> => {
  const events: EndpointEvent[] = [];
  const call = client.call(request, (event) => events.push(event));
  await during(call, events);
  await until(() => events.some(isLast));
  return events;
};

const dispatches = (server: InlineServer): number =>
  server.seen.filter(({ method }) => method === 'POST').length;

interface StreamFault {
  readonly name: string;
  readonly handle: (request: SeenRequest, response: ServerResponse, count: number) => void;
  readonly sees: string;
  readonly silenceMs?: number;
}

const STREAM_FAULTS: readonly StreamFault[] = [
  {
    name: 'no fault',
    handle: (_request, response) =>
      stream(response).end(chunk(1) + chunk(2) + chunk(3) + USAGE_CHUNK + DONE),
    sees: 'head 1 2 3 4 ended',
  },
  {
    name: 'connection broken after the second event',
    handle: (_request, response, count) => {
      if (count > 1) stream(response).end(chunk(3) + DONE);
      else stream(response).write(chunk(1) + chunk(2), () => response.destroy());
    },
    sees: 'head 1 2 resumed>2 3 ended',
  },
  {
    name: 'connection silent after the first event',
    handle: (_request, response, count) => {
      if (count > 1) stream(response).end(chunk(2) + DONE);
      else stream(response).write(chunk(1));
    },
    sees: 'head 1 resumed>1 2 ended',
    silenceMs: SHORT_SILENCE_MS,
  },
  {
    name: 'stream ended without its end mark',
    handle: (_request, response, count) =>
      count > 1 ? stream(response).end(chunk(2) + DONE) : stream(response).end(chunk(1)),
    sees: 'head 1 resumed>1 2 ended',
  },
  {
    name: 'resume repeats events',
    handle: (_request, response, count) =>
      count > 1
        ? stream(response).end(chunk(1) + chunk(2) + chunk(3) + DONE)
        : stream(response).end(chunk(1) + chunk(2)),
    sees: 'head 1 2 resumed>2 3 ended',
  },
  {
    name: 'an event is missing',
    handle: (_request, response, count) =>
      count > 1
        ? stream(response).end(chunk(2) + chunk(3) + DONE)
        : stream(response).end(chunk(1) + chunk(3) + DONE),
    sees: 'head 1 resumed>1 2 3 ended',
  },
  {
    name: 'broken before the head, after the request was written',
    handle: (_request, response, count) => {
      if (count > 1) stream(response).end(chunk(1) + DONE);
      else response.destroy();
    },
    sees: 'resumed>0 head 1 ended',
  },
  {
    name: 'engine forgot the request when it is resumed',
    handle: (_request, response, count) => {
      if (count > 1) response.writeHead(404, { 'x-request-id': ID }).end();
      else stream(response).end(chunk(1));
    },
    sees: 'head 1 answer_cut',
  },
  {
    name: 'head is of another request',
    handle: (_request, response) => stream(response, 'abcdefgh.2').end(chunk(1) + DONE),
    sees: 'answer_crossed',
  },
  {
    name: 'one event is of another request',
    handle: (_request, response) => stream(response).end(chunk(1) + chunk(2, 'abcdefgh.2') + DONE),
    sees: 'head 1 answer_crossed',
  },
  {
    name: 'one event is not JSON',
    handle: (_request, response) => stream(response).end(`${chunk(1)}id: 2\ndata: {\n\n${DONE}`),
    sees: 'head 1 endpoint_failed',
  },
  {
    name: 'every connection after the first is broken',
    handle: (_request, response, count) => {
      if (count > 1) response.destroy();
      else stream(response).end(chunk(1));
    },
    sees: 'head 1 answer_cut',
  },
  {
    name: 'version is not ready',
    handle: (_request, response) =>
      response.writeHead(404, { 'x-request-id': ID }).end('{"error":{"code":"version_not_ready"}}'),
    sees: 'head part ended',
  },
];

STREAM_FAULTS.forEach(({ name, handle, sees, silenceMs }) => {
  test(`a stream with the fault "${name}" is told as: ${sees}`, async (context) => {
    const server = await startInlineServer(context, handle);
    const events = await collect(await makeClient(context, silenceMs), requestTo(server.address));
    expect(tagsOf(events)).toEqual(sees);
    expect(dispatches(server)).toEqual(1);
  });
});

test('usage is read from the last event', async (context) => {
  const server = await startInlineServer(context, (_request, response) =>
    stream(response).end(chunk(1) + chunk(2) + chunk(3) + USAGE_CHUNK + DONE),
  );
  const events = await collect(await makeClient(context), requestTo(server.address));
  expect(events.at(-1)).toEqual({
    _tag: 'ended',
    usage: { promptTokens: 7, cachedTokens: 0, outputTokens: 3 },
  });
});

const WHOLE = JSON.stringify({ id: ID, usage: { prompt_tokens: 2, completion_tokens: 1 } });
const OWN = { 'x-request-id': ID, 'content-type': 'application/json' };

const WHOLE_FAULTS: readonly StreamFault[] = [
  {
    name: 'no fault',
    handle: (_request, response) => response.writeHead(200, OWN).end(WHOLE),
    sees: 'head part ended',
  },
  {
    name: 'cut before its length',
    handle: (_request, response, count) => {
      if (count > 1) response.writeHead(200, OWN).end(WHOLE);
      else {
        response.writeHead(200, { ...OWN, 'content-length': WHOLE.length });
        response.write(WHOLE.slice(0, 9), () => response.destroy());
      }
    },
    sees: 'resumed>0 head part ended',
  },
  {
    name: 'silent connection',
    handle: (_request, response, count) => {
      if (count > 1) response.writeHead(200, OWN).end(WHOLE);
    },
    sees: 'resumed>0 head part ended',
    silenceMs: SHORT_SILENCE_MS,
  },
  {
    name: 'body is of another request',
    handle: (_request, response) =>
      response.writeHead(200, OWN).end(WHOLE.replace(ID, 'abcdefgh.2')),
    sees: 'answer_crossed',
  },
];

WHOLE_FAULTS.forEach(({ name, handle, sees, silenceMs }) => {
  test(`a whole answer with the fault "${name}" is told as: ${sees}`, async (context) => {
    const server = await startInlineServer(context, handle);
    const request = requestTo(server.address, { responseForm: 'whole' });
    const events = await collect(await makeClient(context, silenceMs), request);
    expect(tagsOf(events)).toEqual(sees);
    expect(dispatches(server)).toEqual(1);
  });
});

const SERVICE_FAULTS: readonly StreamFault[] = [
  {
    name: 'no fault',
    handle: (_request, response) => response.writeHead(201, { 'x-own': 'yes' }).end('held'),
    sees: 'head part ended',
  },
  {
    name: 'broken before the head',
    handle: (_request, response) => response.destroy(),
    sees: 'endpoint_failed',
  },
  {
    name: 'cut before its length',
    handle: (_request, response) => {
      response.writeHead(200, { 'content-length': 9 }).write('held', () => response.destroy());
    },
    sees: 'head part answer_cut',
  },
  {
    name: 'answer is of another request',
    handle: (_request, response) => response.writeHead(200, { 'x-request-id': 'other.1' }).end('x'),
    sees: 'answer_crossed',
  },
  {
    // Guards against a broken event stream that is told as ended, and reaches its caller as complete.
    name: 'event stream that ends inside an event',
    handle: (_request, response) => {
      response.socket?.end(
        'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: 1\n\ndata: 2\n',
      );
    },
    sees: 'head part answer_cut',
  },
  {
    name: 'event stream without a length that ends after an event',
    handle: (_request, response) => {
      response.socket?.end('HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: 1\n\n');
    },
    sees: 'head part ended',
  },
];

SERVICE_FAULTS.forEach(({ name, handle, sees }) => {
  test(`a plain service with the fault "${name}" is told as: ${sees}, after one try`, async (context) => {
    const server = await startInlineServer(context, handle);
    const request = requestTo(server.address, {
      engine: false,
      responseForm: 'whole',
      path: '/holds',
    });
    const events = await collect(await makeClient(context), request);
    expect(tagsOf(events)).toEqual(sees);
    expect(server.seen.length).toEqual(1);
  });
});

// Guards against a truncated answer that its caller gets as a success, because the service's end looks like its own.
test('an answer without a length of a plain service that ends with it is told as cut', async (context) => {
  const server = await startInlineServer(context, (_request, response) => {
    response.socket?.end('HTTP/1.1 200 OK\r\n\r\nhel');
    server.stopListening();
  });
  const request = requestTo(server.address, { engine: false, responseForm: 'whole', path: '/x' });
  expect(tagsOf(await collect(await makeClient(context), request))).toEqual('head part answer_cut');
});

test('a refused connect is told as refused, so that the request may go elsewhere', async (context) => {
  const events = await collect(await makeClient(context), requestTo(await closedAddress()));
  expect(tagsOf(events)).toEqual('refused');
});

test('a request that HTTP can not carry is told as refused and never reaches the endpoint', async (context) => {
  const server = await startInlineServer(context, (_request, response) => response.end());
  const client = await makeClient(context);
  for (const change of [{ path: '/a b' }, { headers: { 'x-own': 'a\u0001b' } }]) {
    expect(tagsOf(await collect(client, requestTo(server.address, change)))).toEqual('refused');
  }
  expect(server.seen).toEqual([]);
});

test('a suspended stream goes on after its last event once it is resumed', async (context) => {
  const server = await startInlineServer(context, (request, response) => {
    if (request.url.endsWith('/suspend')) response.end('{}');
    else if (request.method === 'GET') stream(response).end(chunk(2) + DONE);
    else stream(response).write(chunk(1));
  });
  const events = await collect(
    await makeClient(context),
    requestTo(server.address),
    async (call, sofar) => {
      await until(() => sofar.length === 2);
      call.suspend();
      await until(() => server.seen.length === 2);
      call.resume();
    },
  );
  expect(tagsOf(events)).toEqual('head 1 resumed>1 2 ended');
  expect(server.seen[2]?.headers['last-event-id']).toEqual('1');
});

test('a cancelled call tells the engine to stop and brings no further event', async (context) => {
  const server = await startInlineServer(context, (request, response) => {
    if (request.method === 'DELETE') response.end('{}');
    else stream(response).write(chunk(1));
  });
  const client = await makeClient(context);
  const events: EndpointEvent[] = [];
  const call = client.call(requestTo(server.address), (event) => events.push(event));
  await until(() => events.length === 2);
  call.cancel();
  await until(() => server.seen.some(({ method }) => method === 'DELETE'));
  expect(tagsOf(events)).toEqual('head 1');
});

test('a connection is used again within its trusted time and not after it, and for no id twice', async (context) => {
  let now = 0;
  const server = await startInlineServer(context, (_request, response) => response.end('ok'));
  const client = await runScoped(
    context,
    makeEndpointClient({ timing: TIMING, limits: LIMITS, now: () => now }),
  );
  const request = requestTo(server.address, { engine: false, method: 'GET', body: Buffer.of() });
  const callOnce = async (id: string): Promise<void> => {
    await collect(client, { ...request, id });
    // The connection goes back to the pool a turn after the answer's end.
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  };
  await callOnce('r1');
  await callOnce('r2');
  expect(server.connections()).toEqual(1);
  // TWICE: the copy of an answer would pass for the answer to the same request.
  await callOnce('r1');
  expect(server.connections()).toEqual(2);
  now += TIMING.connectionTrustMs + 1;
  await callOnce('r3');
  expect(server.connections()).toEqual(3);
});

test('orders are told as accepted, fenced, refused or unsettled', async (context) => {
  const answers: readonly (readonly [number, string])[] = [
    [200, '{"versions":[{"version":"v2","state":"loading"}]}'],
    [409, '{"fencing":9}'],
    [400, '{}'],
    [500, '{}'],
  ];
  const server = await startInlineServer(context, (_request, response, count) => {
    const [status, text] = answers[count - 1] ?? [500, ''];
    response.writeHead(status).end(text);
  });
  const client = await makeClient(context);
  const order = {
    orderId: 'o1',
    fencing: 3,
    command: { _tag: 'loadVersion', version: 'v2' },
  } as const;
  const tags: string[] = [];
  while (tags.length < answers.length) {
    tags.push((await Effect.runPromise(client.order(server.address, order)))._tag);
  }
  expect(tags).toEqual(['accepted', 'fenced', 'refused', 'unsettled']);
  expect((await Effect.runPromise(client.order(await closedAddress(), order)))._tag).toEqual(
    'refused',
  );
});
