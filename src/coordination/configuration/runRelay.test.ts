import { test } from 'node:test';
import { expect } from 'earl';
import * as Effect from 'effect/Effect';
import { TestClock } from 'effect/testing';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { makeBundle } from '../../../test/fakes/makeBundle.ts';
import { MemoryPlatform } from '../../../test/fakes/MemoryPlatform.ts';
import { digestJson } from '../../state/canonicalJson.ts';
import { ConfigurationReplica } from './ConfigurationReplica.ts';
import { runRelay } from './runRelay.ts';

const makeRoll = (rollNumber: number) => {
  const bundle = makeBundle(rollNumber);
  return { rollNumber, digest: digestJson(bundle), bundle, operator: 'ana', nonce: 'n' };
};

const start = (platform: MemoryPlatform, isRelay: boolean) =>
  Effect.gen(function* run() {
    const random = xoroshiro128plus(1);
    const replica = new ConfigurationReplica({ incarnation: 'one', failureDomain: 'a' }, random);
    yield* runRelay({
      platform,
      configurationReplica: replica,
      isRelay: () => isRelay,
      now: () => 0,
      random,
      onActions: () => {},
      onInstances: () => {},
    });
    return replica;
  });

const run = <A>(effect: Effect.Effect<A>): Promise<A> =>
  Effect.runPromise(Effect.provide(effect, TestClock.layer()));

test('a relay applies rolls that it watches, also after an outage of the store', async () => {
  const platform = new MemoryPlatform();
  await run(
    Effect.scoped(
      Effect.gen(function* session() {
        const replica = yield* start(platform, true);
        yield* TestClock.adjust(1_000);
        const created = yield* platform.create('rolls', 'current', makeRoll(1));
        yield* TestClock.adjust(1);
        expect(replica.current()?.rollNumber).toEqual(1);
        platform.setAway(true);
        yield* TestClock.adjust(20_000);
        platform.setAway(false);
        if (created._tag !== 'written') throw new Error('not written');
        yield* platform.replace('rolls', 'current', makeRoll(2), created.object.resourceVersion);
        yield* TestClock.adjust(5_000);
        expect(replica.current()?.rollNumber).toEqual(2);
      }),
    ),
  );
});

test('a process that is not a relay reads the store at startup and never again', async () => {
  const platform = new MemoryPlatform();
  await Effect.runPromise(platform.create('rolls', 'current', makeRoll(3)));
  await run(
    Effect.scoped(
      Effect.gen(function* session() {
        const replica = yield* start(platform, false);
        yield* TestClock.adjust(60_000);
        expect(replica.current()?.rollNumber).toEqual(3);
        expect(platform.calls).toEqual({ reads: 2, writes: 1, watches: 0 });
      }),
    ),
  );
});

// DRAIN: a process that had just started used a leaving endpoint until a relay repeated its report.
test('a process that is not a relay knows at startup which endpoints are leaving', async () => {
  const platform = new MemoryPlatform();
  const address = '127.0.0.1:2';
  const instance = { name: 'engine', role: 'endpoint', address, state: 'leaving' };
  await Effect.runPromise(platform.create('instances', 'engine', instance));
  await run(
    Effect.scoped(
      Effect.gen(function* session() {
        const replica = yield* start(platform, false);
        yield* TestClock.adjust(1_000);
        expect([...replica.leavingAddresses()]).toEqual([address]);
      }),
    ),
  );
});

test('a roll whose bundle does not match its digest is not applied', async () => {
  const platform = new MemoryPlatform();
  const forged = { ...makeRoll(1), bundle: makeBundle(9) };
  await Effect.runPromise(platform.create('rolls', 'current', forged));
  await run(
    Effect.scoped(
      Effect.gen(function* session() {
        const replica = yield* start(platform, true);
        yield* TestClock.adjust(2_000);
        expect(replica.current()).toEqual(undefined);
      }),
    ),
  );
});
