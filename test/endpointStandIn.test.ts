import { performance } from 'node:perf_hooks';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import { expect } from 'earl';
import type {
  AnswerForm,
  EndpointCall,
  EndpointClient,
  EndpointEvent,
} from '../src/protocol/engine/EndpointClient.ts';
import { Limits, Timing } from '../src/state/EntrySettings.ts';
import { makeEndpointClient } from '../src/transport/endpoint/index.ts';
import { startEngine } from './fakes/engine/index.ts';
import type { EngineOptions, FakeEngine } from './fakes/engine/index.ts';
import { runScoped, until } from './support/scoped.ts';

const ID = 'abcdefgh.0_a';
const OUTPUT_TOKENS = 40;

interface Fixture {
  readonly engine: FakeEngine;
  readonly client: EndpointClient;
}

const start = async (
  context: TestContext,
  options: EngineOptions = {},
  streamSilenceMs = 250,
): Promise<Fixture> => {
  const engine = await startEngine({ timeScale: 20, ...options });
  context.after(() => engine.close());
  const client = await runScoped(
    context,
    makeEndpointClient({
      timing: Schema.decodeUnknownSync(Timing)({ streamSilenceMs }),
      limits: Schema.decodeUnknownSync(Limits)({}),
      now: () => performance.now(),
    }),
  );
  return { engine, client };
};

const call = (
  { client, engine }: Fixture,
  form: AnswerForm,
  events: EndpointEvent[],
): EndpointCall =>
  client.call(
    {
      id: ID,
      address: engine.address,
      version: 'v1',
      method: 'POST',
      path: '/v1/chat/completions',
      headers: {},
      body: Buffer.from(
        JSON.stringify({
          messages: [{ role: 'user', content: 'how deep' }],
          max_tokens: OUTPUT_TOKENS,
          stream: form === 'events',
        }),
      ),
      responseForm: form,
      idempotent: false,
      engine: true,
    },
    (event) => events.push(event),
  );

const lastOf = async (events: readonly EndpointEvent[]): Promise<EndpointEvent> => {
  const isLast = ({ _tag }: EndpointEvent): boolean =>
    ['ended', 'failed', 'refused'].includes(_tag);
  await until(() => events.some(isLast));
  return events.at(-1) as EndpointEvent;
};

const nameOf = (event: EndpointEvent): string =>
  event._tag === 'failed' ? event.reason : event._tag;

const indicesOf = (events: readonly EndpointEvent[]): readonly number[] =>
  events.flatMap((event) => (event._tag === 'event' ? [event.index] : []));

interface EngineCase {
  readonly fault: 'none' | 'silenceNext' | 'truncateNext' | 'cutNext' | 'crossNext';
  readonly events: string;
  readonly whole: string;
}

const CASES: readonly EngineCase[] = [
  { fault: 'none', events: 'ended', whole: 'ended' },
  { fault: 'silenceNext', events: 'ended', whole: 'ended' },
  { fault: 'truncateNext', events: 'ended', whole: 'ended' },
  // The stand-in cuts before its head has left, and then knows nothing of the request.
  { fault: 'cutNext', events: 'endpoint_failed', whole: 'endpoint_failed' },
  { fault: 'crossNext', events: 'answer_crossed', whole: 'answer_crossed' },
];

CASES.forEach(({ fault, ...ends }) => {
  (['events', 'whole'] as const).forEach((form) => {
    test(`an engine's answer in the form ${form} with the fault ${fault} ends as ${ends[form]} after one dispatch`, async (context) => {
      const faults = fault === 'none' ? {} : { [fault]: 1 };
      // Only the row about silence may run into it, however slow the machine is.
      const silenceMs = fault === 'silenceNext' ? 250 : 60_000;
      const fixture = await start(context, { faults }, silenceMs);
      const events: EndpointEvent[] = [];
      call(fixture, form, events);
      expect(nameOf(await lastOf(events))).toEqual(ends[form]);
      expect(fixture.engine.arrivals(ID)).toEqual(1);
      const indices = indicesOf(events);
      expect(indices).toEqual(indices.map((_, position) => position + 1));
      const parts = events.filter(({ _tag }) => _tag === 'part');
      expect(parts.length).toEqual(form === 'whole' && ends.whole === 'ended' ? 1 : 0);
    });
  });
});

test('connections that go silent in the middle of a stream lose no event', async (context) => {
  const fixture = await start(context, { timeScale: 2 });
  const events: EndpointEvent[] = [];
  call(fixture, 'events', events);
  await until(() => indicesOf(events).length > 0);
  fixture.engine.silenceOpenConnections();
  const end = await lastOf(events);
  expect(end._tag === 'ended' && end.usage?.outputTokens).toEqual(OUTPUT_TOKENS);
  const indices = indicesOf(events);
  expect(indices).toEqual(indices.map((_, position) => position + 1));
  expect(events.some(({ _tag }) => _tag === 'resumed')).toEqual(true);
});

test('a request that a silent connection swallowed is never sent again', async (context) => {
  const fixture = await start(context);
  const first: EndpointEvent[] = [];
  call(fixture, 'whole', first);
  await lastOf(first);
  // The connection is idle now, and goes silent before the next request takes it.
  await until(() => fixture.engine.stats().completed === 1);
  await new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
  fixture.engine.silenceOpenConnections();
  const second: EndpointEvent[] = [];
  fixture.client.call(
    {
      id: 'abcdefgh.0_b',
      address: fixture.engine.address,
      version: 'v1',
      method: 'POST',
      path: '/v1/chat/completions',
      headers: {},
      body: Buffer.from('{"messages":[],"max_tokens":4}'),
      responseForm: 'whole',
      idempotent: false,
      engine: true,
    },
    (event) => second.push(event),
  );
  expect(nameOf(await lastOf(second))).toEqual('endpoint_failed');
  expect(fixture.engine.stats().swallowed).toEqual(1);
  expect(fixture.engine.arrivals('abcdefgh.0_b')).toEqual(0);
});

test('a suspended stream frees its slot and goes on to its end once it is resumed', async (context) => {
  const fixture = await start(context, { timeScale: 2 }, 60_000);
  const events: EndpointEvent[] = [];
  const running = call(fixture, 'events', events);
  await until(() => indicesOf(events).length > 0);
  running.suspend();
  await until(() => fixture.engine.stats().suspended === 1);
  const told = indicesOf(events).length;
  running.resume();
  const end = await lastOf(events);
  expect(end._tag === 'ended' && end.usage?.outputTokens).toEqual(OUTPUT_TOKENS);
  const indices = indicesOf(events);
  expect(indices).toEqual(indices.map((_, position) => position + 1));
  expect(indices.length > told).toEqual(true);
  expect(fixture.engine.arrivals(ID)).toEqual(1);
});

test('a cancelled stream stops generating', async (context) => {
  const fixture = await start(context, { timeScale: 2 });
  const events: EndpointEvent[] = [];
  const running = call(fixture, 'events', events);
  await until(() => indicesOf(events).length > 0);
  running.cancel();
  await until(() => fixture.engine.stats().cancelled === 1);
  expect(events.some(({ _tag }) => _tag === 'ended' || _tag === 'failed')).toEqual(false);
});

test('load, cache events and versions of an engine are read', async (context) => {
  const { client, engine } = await start(context);
  const load = await Effect.runPromise(client.load(engine.address));
  expect([load?.running, load?.waiting]).toEqual([0, 0]);
  expect(await Effect.runPromise(client.cacheEvents(engine.address, 0))).toEqual([]);
  expect(await Effect.runPromise(client.versions(engine.address))).toEqual([
    { version: 'v1', state: 'ready' },
  ]);
});
