import type { ServerResponse } from 'node:http';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import * as Effect from 'effect/Effect';
import { expect } from 'earl';
import type { PlatformApi, WatchEvent } from '../../protocol/platform/PlatformApi.ts';
import { closedAddress, startInlineServer } from '../../../test/support/inlineServer.ts';
import { runScoped, until } from '../../../test/support/scoped.ts';
import { makePlatformClient } from './makePlatformClient.ts';

const VALUE = { share: 0.5 };
const object = (resourceVersion: string): unknown => ({
  apiVersion: 'corianderwick.dev/v1',
  kind: 'leases',
  metadata: { name: 'a', namespace: 'default', resourceVersion },
  spec: VALUE,
});
const line = (type: string, content: unknown): string =>
  `${JSON.stringify({ type, object: content })}\n`;

const makeClient = (
  context: TestContext,
  address: string,
  timeoutMs = 60_000,
  watchSilenceMs = 60_000,
): Promise<PlatformApi> =>
  runScoped(
    context,
    makePlatformClient(
      { address, namespace: 'default', token: 'token', timeoutMs },
      watchSilenceMs,
    ),
  );

interface CallFault {
  readonly name: string;
  readonly answer: (response: ServerResponse) => void;
  readonly read: string;
  readonly list: string;
  readonly create: string;
  readonly replace: string;
  readonly timeoutMs?: number;
}

const status =
  (code: number, body: unknown = {}) =>
  (response: ServerResponse): void => {
    response.writeHead(code, { 'content-type': 'application/json' }).end(JSON.stringify(body));
  };

const CALL_FAULTS: readonly CallFault[] = [
  {
    name: 'status 404',
    answer: status(404),
    read: 'absent',
    list: 'unavailable',
    create: 'conflict',
    replace: 'conflict',
  },
  {
    name: 'status 409',
    answer: status(409),
    read: 'unavailable',
    list: 'unavailable',
    create: 'conflict',
    replace: 'conflict',
  },
  {
    name: 'status 422',
    answer: status(422),
    read: 'unavailable',
    list: 'unavailable',
    create: 'rejected',
    replace: 'rejected',
  },
  ...[429, 500, 503].map((code) => ({
    name: `status ${code}`,
    answer: status(code),
    read: 'unavailable',
    list: 'unavailable',
    create: 'unsettled',
    replace: 'unsettled',
  })),
  {
    name: 'an unreadable answer',
    answer: status(200, { no: 'object' }),
    read: 'unavailable',
    list: 'unavailable',
    create: 'unsettled',
    replace: 'unsettled',
  },
  {
    name: 'a connection broken after the request',
    answer: (response) => response.destroy(),
    read: 'unavailable',
    list: 'unavailable',
    create: 'unsettled',
    replace: 'unsettled',
  },
  {
    name: 'no answer in time',
    answer: () => {},
    read: 'unavailable',
    list: 'unavailable',
    create: 'unsettled',
    replace: 'unsettled',
    timeoutMs: 50,
  },
];

CALL_FAULTS.forEach(({ name, answer, read, list, create, replace, timeoutMs }) => {
  test(`after ${name} reads are ${read} and writes ${create}`, async (context) => {
    const server = await startInlineServer(context, (_request, response) => answer(response));
    const client = await makeClient(context, server.address, timeoutMs);
    expect((await Effect.runPromise(client.read('leases', 'a')))._tag).toEqual(read as 'absent');
    expect((await Effect.runPromise(client.list('leases')))._tag).toEqual(list as 'unavailable');
    expect((await Effect.runPromise(client.create('leases', 'a', VALUE)))._tag).toEqual(
      create as 'conflict',
    );
    expect((await Effect.runPromise(client.replace('leases', 'a', VALUE, '7')))._tag).toEqual(
      replace as 'conflict',
    );
    // Each was asked once: a write that may have taken effect is never repeated here.
    expect(server.seen.length).toEqual(4);
  });
});

test('a platform that refuses connections is unavailable, and writes to it are unsettled', async (context) => {
  const client = await makeClient(context, await closedAddress());
  expect((await Effect.runPromise(client.read('leases', 'a')))._tag).toEqual('unavailable');
  expect((await Effect.runPromise(client.create('leases', 'a', VALUE)))._tag).toEqual('unsettled');
});

test('reads, lists and conditional writes speak the object API', async (context) => {
  const server = await startInlineServer(context, (request, response) => {
    const isList = request.method === 'GET' && !request.url.endsWith('/a');
    status(
      200,
      isList ? { items: [object('7')], metadata: { resourceVersion: '9' } } : object('8'),
    )(response);
  });
  const client = await makeClient(context, server.address);
  const stored = { kind: 'leases', name: 'a', resourceVersion: '8', value: VALUE } as const;
  expect(await Effect.runPromise(client.read('leases', 'a'))).toEqual({
    _tag: 'found',
    object: stored,
  });
  expect(await Effect.runPromise(client.list('leases'))).toEqual({
    _tag: 'listed',
    objects: [{ ...stored, resourceVersion: '7' }],
    resourceVersion: '9',
  });
  expect(await Effect.runPromise(client.replace('leases', 'a', VALUE, '7'))).toEqual({
    _tag: 'written',
    object: stored,
  });
  const [get, , put] = server.seen;
  expect(get?.url).toEqual('/apis/corianderwick.dev/v1/namespaces/default/leases/a');
  expect(get?.headers.authorization).toEqual('Bearer token');
  expect(put?.method).toEqual('PUT');
  expect(JSON.parse(put?.body ?? '')).toEqual(object('7'));
});

interface WatchFault {
  readonly name: string;
  readonly answer: (response: ServerResponse) => void;
  readonly sees: readonly string[];
  readonly silenceMs?: number;
}

const WATCH_FAULTS: readonly WatchFault[] = [
  {
    name: 'a stream that ends',
    answer: (response) =>
      response.end(
        line('ADDED', object('1')) +
          line('BOOKMARK', {}) +
          line('MODIFIED', object('2')) +
          line('DELETED', object('3')),
      ),
    sees: ['put', 'put', 'deleted', 'broken'],
  },
  {
    name: 'a version that is too old',
    answer: (response) => response.write(line('ERROR', { code: 410 })),
    sees: ['gone'],
  },
  {
    name: 'a version that is too old by status',
    answer: (response) => response.writeHead(410).end(),
    sees: ['gone'],
  },
  {
    name: 'another error',
    answer: (response) => response.write(line('ERROR', { code: 500 })),
    sees: ['broken'],
  },
  {
    name: 'an unreadable line',
    answer: (response) => response.write('{\n'),
    sees: ['broken'],
  },
  {
    name: 'a stream that breaks within a line',
    answer: (response) =>
      response.write(line('ADDED', object('1')).slice(0, 9), () => response.destroy()),
    sees: ['broken'],
  },
  {
    name: 'silence',
    answer: (response) => response.writeHead(200).flushHeaders(),
    sees: ['broken'],
    silenceMs: 50,
  },
  {
    name: 'an outage',
    answer: (response) => response.writeHead(503).end(),
    sees: ['broken'],
  },
];

WATCH_FAULTS.forEach(({ name, answer, sees, silenceMs }) => {
  test(`a watch with ${name} is told as ${sees.join(', ')} and then ends`, async (context) => {
    const server = await startInlineServer(context, (_request, response) => answer(response));
    const client = await makeClient(context, server.address, undefined, silenceMs);
    const events: WatchEvent[] = [];
    await runScoped(
      context,
      client.watch('leases', '5', (event) => events.push(event)),
    );
    await until(() => events.some(({ _tag }) => _tag === 'gone' || _tag === 'broken'));
    expect(events.map(({ _tag }) => _tag)).toEqual([...sees] as WatchEvent['_tag'][]);
    expect(server.seen[0]?.url.endsWith('/leases?watch=true&resourceVersion=5')).toEqual(true);
  });
});

test('a multi-byte character split over two reads arrives whole', async (context) => {
  const text = Buffer.from(
    line('ADDED', { metadata: { name: 'a', resourceVersion: '1' }, spec: 'Montréal' }),
  );
  const split = text.indexOf(0xc3) + 1;
  const server = await startInlineServer(context, (_request, response) => {
    response.write(text.subarray(0, split));
    setTimeout(() => response.end(text.subarray(split)), 20);
  });
  const client = await makeClient(context, server.address);
  const events: WatchEvent[] = [];
  await runScoped(
    context,
    client.watch('leases', '5', (event) => events.push(event)),
  );
  await until(() => events.length > 0);
  const [event] = events;
  expect(event?._tag === 'put' && event.object.value).toEqual('Montréal');
});
