import { performance } from 'node:perf_hooks';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import * as Schema from 'effect/Schema';
import { expect } from 'earl';
import type {
  EndpointClient,
  EndpointEvent,
  EndpointRequest,
} from '../../protocol/engine/EndpointClient.ts';
import { EntryLimits, EntryTiming } from '../../state/EntrySettings.ts';
import { startInlineServer, type InlineServer } from '../../../test/support/inlineServer.ts';
import { runScoped, until } from '../../../test/support/scoped.ts';
import { makeEndpointClient } from './makeEndpointClient.ts';

const ID = 'abcdefgh.1';

const makeClient = (context: TestContext): Promise<EndpointClient> =>
  runScoped(
    context,
    makeEndpointClient({
      timing: Schema.decodeUnknownSync(EntryTiming)({ streamSilenceMs: 60_000 }),
      limits: Schema.decodeUnknownSync(EntryLimits)({}),
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

const collect = async (
  client: EndpointClient,
  request: EndpointRequest,
): Promise<readonly EndpointEvent[]> => {
  const events: EndpointEvent[] = [];
  client.call(request, (event) => events.push(event));
  await until(() => events.some(({ _tag }) => _tag === 'ended' || _tag === 'failed'));
  return events;
};

const tagsOf = (events: readonly EndpointEvent[]): string =>
  events.map((event) => (event._tag === 'failed' ? event.reason : event._tag)).join(' ');

/** Silence after which a service may have started again, as after a cut of the link. */
const RESTART_SILENCE_MS = 400;

// Guards against a truncated answer that looks whole, because a new start of the service accepts connections.
test('an answer without a length of a plain service that may have started again is told as cut', async (context) => {
  const server = await startInlineServer(context, (_request, response) => {
    response.socket?.write('HTTP/1.1 200 OK\r\n\r\nhel');
    setTimeout(() => server.restart(), RESTART_SILENCE_MS);
  });
  const request = requestTo(server.address, { engine: false, responseForm: 'whole', path: '/x' });
  expect(tagsOf(await collect(await makeClient(context), request))).toEqual('head part answer_cut');
});

// Guards against sound answers with pauses that are told as cut.
test('an answer without a length of a plain service that pauses and goes on is told as ended', async (context) => {
  let seenBeforeEnd = 0;
  const server: InlineServer = await startInlineServer(context, ({ method }, response) => {
    if (method === 'OPTIONS') {
      response.end();
      return;
    }
    response.socket?.write('HTTP/1.1 200 OK\r\n\r\nhel');
    setTimeout(() => response.socket?.write('lo'), RESTART_SILENCE_MS);
    setTimeout(() => {
      seenBeforeEnd = server.seen.length;
      response.socket?.end();
    }, 2 * RESTART_SILENCE_MS);
  });
  const request = requestTo(server.address, { engine: false, responseForm: 'whole', path: '/x' });
  const events = await collect(await makeClient(context), request);
  expect(tagsOf(events)).toEqual('head part part ended');
  expect(server.seen.slice(seenBeforeEnd).map(({ method }) => method)).toEqual(['OPTIONS']);
  // One in half of the shortest idle timeout that needn't be stated.
  expect(seenBeforeEnd - 1 <= (2 * RESTART_SILENCE_MS) / 250).toEqual(true);
});

// Guards against a first answer that is told as cut, because no connection was open before it.
test('a slow answer without a length that is the first of a plain service is told as ended', async (context) => {
  const server = await startInlineServer(context, ({ method }, response) => {
    if (method === 'OPTIONS') response.end();
    else setTimeout(() => response.socket?.end('HTTP/1.1 200 OK\r\n\r\nhello'), RESTART_SILENCE_MS);
  });
  const request = requestTo(server.address, { engine: false, responseForm: 'whole', path: '/x' });
  expect(tagsOf(await collect(await makeClient(context), request))).toEqual('head part ended');
});

// Guards against the same end of an engine's error.
test('a slow error without a length that is the first answer of an engine is told as ended', async (context) => {
  const server = await startInlineServer(context, ({ method }, response) => {
    const text = `HTTP/1.1 500 Failed\r\nX-Request-Id: ${ID}\r\n\r\n{}`;
    if (method === 'OPTIONS') response.end();
    else setTimeout(() => response.socket?.end(text), RESTART_SILENCE_MS);
  });
  const events = await collect(await makeClient(context), requestTo(server.address));
  expect(tagsOf(events)).toEqual('head part ended');
});

// Guards against the truncated text of an error that its caller gets as whole, because an engine's end looks like its own.
test('an error without a length of an engine that ends with it is told as cut', async (context) => {
  const server = await startInlineServer(context, (_request, response) => {
    response.socket?.end(`HTTP/1.1 500 Failed\r\nX-Request-Id: ${ID}\r\n\r\n{"err`);
    server.stopListening();
  });
  const events = await collect(await makeClient(context), requestTo(server.address));
  expect(tagsOf(events)).toEqual('head part answer_cut');
});

// Guards against sound errors that are told as cut.
test('an error without a length of an engine that goes on is told as ended', async (context) => {
  const server = await startInlineServer(context, (_request, response) => {
    response.socket?.end(`HTTP/1.1 500 Failed\r\nX-Request-Id: ${ID}\r\n\r\n{}`);
  });
  const events = await collect(await makeClient(context), requestTo(server.address));
  expect(tagsOf(events)).toEqual('head part ended');
});
