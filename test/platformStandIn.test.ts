import { test } from 'node:test';
import type { TestContext } from 'node:test';
import * as Effect from 'effect/Effect';
import { expect } from 'earl';
import type { PlatformApi, WatchEvent } from '../src/protocol/platform/PlatformApi.ts';
import { makePlatformClient } from '../src/transport/platform/index.ts';
import { startPlatform } from './fakes/platform/index.ts';
import type { FakePlatform } from './fakes/platform/index.ts';
import { runScoped, until } from './support/scoped.ts';

const start = async (
  context: TestContext,
  timeoutMs = 60_000,
): Promise<{ readonly platform: FakePlatform; readonly client: PlatformApi }> => {
  const platform = await startPlatform();
  context.after(() => platform.close());
  const settings = { address: platform.address, namespace: 'default', timeoutMs };
  return { platform, client: await runScoped(context, makePlatformClient(settings)) };
};

test('of two writers of one version only one is told that it wrote', async (context) => {
  const { client } = await start(context);
  const created = await Effect.runPromise(client.create('rolls', 'current', { by: 'first' }));
  const version = created._tag === 'written' ? created.object.resourceVersion : '';
  const writes = await Promise.all(
    ['a', 'b'].map((by) => Effect.runPromise(client.replace('rolls', 'current', { by }, version))),
  );
  expect(writes.map(({ _tag }) => _tag).sort()).toEqual(['conflict', 'written']);
  expect((await Effect.runPromise(client.create('rolls', 'current', {})))._tag).toEqual('conflict');
});

test('a write whose answer is lost is unsettled, and reading back settles it', async (context) => {
  const { platform, client } = await start(context);
  platform.setFaults({ loseAnswerAfterWrite: 1 });
  const write = await Effect.runPromise(client.create('leases', 'a', { nonce: 'mine' }));
  expect(write._tag).toEqual('unsettled');
  const read = await Effect.runPromise(client.read('leases', 'a'));
  expect(read._tag === 'found' && read.object.value).toEqual({ nonce: 'mine' });
});

test('a watch from a listing tells every later change in order, and an outage breaks it', async (context) => {
  const { platform, client } = await start(context);
  platform.put('rolls', 'current', { n: 1 });
  const list = await Effect.runPromise(client.list('rolls'));
  const version = list._tag === 'listed' ? list.resourceVersion : '';
  platform.put('rolls', 'current', { n: 2 });
  const events: WatchEvent[] = [];
  await runScoped(
    context,
    client.watch('rolls', version, (event) => events.push(event)),
  );
  await until(() => events.length === 1);
  platform.put('rolls', 'current', { n: 3 });
  platform.remove('rolls', 'current');
  await until(() => events.length === 3);
  platform.setFaults({ away: true });
  await until(() => events.length === 4);
  expect(
    events.map((event) =>
      event._tag === 'put' ? (event.object.value as { n: number }).n : event._tag,
    ),
  ).toEqual([2, 3, 'deleted', 'broken']);
  expect((await Effect.runPromise(client.list('rolls')))._tag).toEqual('unavailable');
});

test('a platform that answers nothing is unavailable after the timeout', async (context) => {
  const { platform, client } = await start(context, 50);
  platform.setFaults({ silent: true });
  expect((await Effect.runPromise(client.read('rolls', 'current')))._tag).toEqual('unavailable');
  expect((await Effect.runPromise(client.create('leases', 'a', {})))._tag).toEqual('unsettled');
});
