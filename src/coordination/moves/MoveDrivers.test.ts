import { test } from 'node:test';
import { expect } from 'earl';
import * as Effect from 'effect/Effect';
import { TestClock } from 'effect/testing';
import { makeBundle, makeMove } from '../../../test/fakes/makeBundle.ts';
import { MemoryPlatform } from '../../../test/fakes/MemoryPlatform.ts';
import { makeEngines, MoveSession, type Fault } from '../../../test/fakes/MoveSession.ts';
import type { MoveStatus } from '../../state/MoveStatus.ts';

const HEALTHY: Fault = () => ({});

const run = (body: Effect.Effect<void>): Promise<void> =>
  Effect.runPromise(Effect.provide(body, TestClock.layer()));

const finalStates = ({ history }: MemoryPlatform): readonly string[] =>
  history
    .filter(({ kind }) => kind === 'movestatuses')
    .map(({ value }) => (value as MoveStatus).state._tag)
    .filter((state) => state === 'done' || state === 'reverted');

const drive = async (fault: Fault, loadsFail = false, seed = 1) => {
  const platform = new MemoryPlatform();
  const engines = makeEngines(loadsFail);
  const session = new MoveSession(platform, 'one', makeBundle(1, [makeMove()]), engines, seed);
  await run(
    Effect.scoped(
      Effect.gen(function* body() {
        yield* session.start();
        yield* session.serve(65_000, fault);
      }),
    ),
  );
  return { session, platform, engines };
};

test('a healthy version is loaded, gets the share of each stage in turn and completes its move', async () => {
  const { platform, session, engines } = await drive(HEALTHY);
  expect(finalStates(platform)).toEqual(['done']);
  expect(session.routing()?.stable).toEqual('v2');
  expect(engines.orders.length).toEqual(1);
});

const FAULTS: readonly (readonly [string, Fault])[] = [
  ['fails at once', () => ({ fails: true })],
  ['fails intermittently', ({ atMs }) => ({ fails: atMs % 3 === 0 || atMs % 7 === 0 })],
  ['fails only at the full share', ({ share }) => ({ fails: share === 1 })],
  ['is slow at once', () => ({ slow: 3 })],
  ['is slow under load only', ({ share }) => ({ slow: share === 1 ? 3 : 1 })],
  ['fails on one route only', ({ route }) => ({ fails: route === 'bulletin' })],
  ['is slow on one route only', ({ route }) => ({ slow: route === 'bulletin' ? 4 : 1 })],
];

FAULTS.forEach(([name, fault]) => {
  test(`the move to a version that ${name} is reverted`, async () => {
    const { platform, session } = await drive(fault);
    expect(finalStates(platform)).toEqual(['reverted']);
    expect(session.routing()?.stable).toEqual('v1');
  });
});

test('the move to a version that engines fail to load is reverted before it gets any request', async () => {
  const { platform, session, engines } = await drive(HEALTHY, true);
  expect(finalStates(platform)).toEqual(['reverted']);
  expect(session.served.new).toEqual(0);
  expect(engines.orders.length).toEqual(2);
});

const runPair = (
  body: (parts: {
    platform: MemoryPlatform;
    first: MoveSession;
    second: MoveSession;
  }) => Effect.Effect<void>,
) => {
  const platform = new MemoryPlatform();
  const engines = makeEngines();
  const bundle = makeBundle(1, [makeMove()]);
  const first = new MoveSession(platform, 'one', bundle, engines, 1);
  const second = new MoveSession(platform, 'two', bundle, engines, 2);
  return run(
    Effect.scoped(
      Effect.gen(function* both() {
        yield* first.start();
        yield* second.start();
        yield* body({ platform, first, second });
      }),
    ),
  );
};

const serveBoth = (first: MoveSession, second: MoveSession, forMs: number, fault = HEALTHY) =>
  Effect.gen(function* serve() {
    for (let passed = 0; passed < forMs; passed += 50) {
      yield* first.serve(50, fault);
      second.skip(50, fault);
    }
  });

test('two concurrent drivers write the final state once and both adopt the stored one', () =>
  runPair(({ platform, first, second }) =>
    Effect.gen(function* overlap() {
      yield* serveBoth(first, second, 30_000);
      expect(finalStates(platform)).toEqual(['done']);
      expect([first, second].map((each) => each.routing()?.stable)).toEqual(['v2', 'v2']);
    }),
  ));

test('a driver that was paused beyond its lease changes nothing when it resumes', () =>
  runPair(({ platform, first, second }) =>
    Effect.gen(function* paused() {
      second.drive(false);
      yield* serveBoth(first, second, 1_500);
      first.drive(false);
      second.drive(true);
      yield* serveBoth(first, second, 20_000);
      first.drive(true);
      yield* serveBoth(first, second, 10_000);
      expect(finalStates(platform)).toEqual(['done']);
      const fencings = platform.history
        .filter(({ kind }) => kind === 'movestatuses')
        .map(({ value }) => (value as MoveStatus).fencing);
      expect([...fencings].sort((a, b) => a - b)).toEqual(fencings);
    }),
  ));
