import { test } from 'node:test';
import { expect } from 'earl';
import { startEngine } from './engine/index.ts';
import type { EngineOptions } from './engine/index.ts';
import { exchange } from './exchange.ts';
import { startPlatform } from './platform/index.ts';

const chat = (address: string, id: string, body: object) =>
  exchange(`${address}/v1/chat/completions`, {
    headers: { 'x-request-id': id, 'x-model-version': 'v1' },
    body: { messages: [{ role: 'user', content: 'how deep' }], ...body },
  });

const linesOf = (text: string, field: string) =>
  text
    .split('\n')
    .filter((line) => line.startsWith(`${field}: `))
    .map((line) => line.slice(field.length + 2));

const engineOf = async (
  context: { after: (done: () => Promise<void>) => void },
  options: EngineOptions,
) => {
  const engine = await startEngine(options);
  context.after(() => engine.close());
  return engine;
};

test('the platform refuses a write whose version is old and keeps one whose answer was lost', async (context) => {
  const platform = await startPlatform();
  context.after(() => platform.close());
  const url = `${platform.address}/apis/corianderwick.dev/v1/namespaces/default/rolls`;
  const send = (method: string, path: string, resourceVersion: string | undefined, n: number) =>
    exchange(`${url}${path}`, {
      method,
      body: { metadata: { name: 'current', resourceVersion }, spec: { n } },
    });
  const created = await send('POST', '', undefined, 1);
  expect(created.status).toEqual(201);
  const { resourceVersion } = JSON.parse(created.body).metadata;
  platform.setFaults({ loseAnswerAfterWrite: 1 });
  await expect(send('PUT', '/current', resourceVersion, 2)).toBeRejected();
  expect(platform.get('rolls', 'current')?.spec).toEqual({ n: 2 });
  expect((await send('PUT', '/current', resourceVersion, 3)).status).toEqual(409);
  platform.setFaults({ away: true });
  expect((await exchange(url)).status).toEqual(503);
});

test('the engine resumes a stream that went silent after the last event that was read', async (context) => {
  const engine = await engineOf(context, { timeScale: 50, faults: { silenceNext: 1 } });
  const silent = exchange(`${engine.address}/v1/chat/completions`, {
    headers: { 'x-request-id': 'home0001.a', 'x-model-version': 'v1' },
    body: { messages: [], stream: true, max_tokens: 40 },
    timeoutMs: 300,
  });
  await expect(silent).toBeRejected();
  const resumed = await exchange(`${engine.address}/v1/streams/home0001.a`, {
    headers: { 'last-event-id': '1' },
  });
  expect(linesOf(resumed.body, 'id')[0]).toEqual('2');
  expect(linesOf(resumed.body, 'data').at(-1)).toEqual('[DONE]');
  expect(engine.stats().doubled).toEqual([]);
});

test('the engine counts a second dispatch of an id and the prefill of a cancelled request', async (context) => {
  const engine = await engineOf(context, { timeScale: 50 });
  await Promise.all([1, 2].map(() => chat(engine.address, 'home0001.b', { max_tokens: 4 })));
  const before = engine.stats().prefillTokens;
  const cut = expect(chat(engine.address, 'home0001.c', { max_tokens: 400_000 })).toBeRejected();
  while (engine.arrivals('home0001.c') === 0) await exchange(`${engine.address}/v1/load`);
  while (engine.stats().prefillTokens === before) await exchange(`${engine.address}/v1/load`);
  await exchange(`${engine.address}/v1/streams/home0001.c`, { method: 'DELETE' });
  await cut;
  expect(engine.stats().doubled).toEqual(['home0001.b']);
  expect(engine.stats().wastedPrefillTokens).toBeGreaterThan(0);
});

test('the engine refuses an order under an old fencing number only where it checks the number', async (context) => {
  const statusOf = async (checksFencing: boolean) => {
    const engine = await engineOf(context, { checksFencing });
    const order = (fencing: number) =>
      exchange(`${engine.address}/v1/orders`, {
        body: { orderId: 'o', fencing, command: { _tag: 'loadVersion', version: 'v2' } },
      });
    await order(7);
    return (await order(6)).status;
  };
  expect(await Promise.all([true, false].map(statusOf))).toEqual([409, 200]);
});
