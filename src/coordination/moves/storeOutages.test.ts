import { test } from 'node:test';
import { expect } from 'earl';
import * as Effect from 'effect/Effect';
import { TestClock } from 'effect/testing';
import { makeBundle, makeMove } from '../../../test/fakes/makeBundle.ts';
import { MemoryPlatform } from '../../../test/fakes/MemoryPlatform.ts';
import { makeEngines, MoveSession, type Fault } from '../../../test/fakes/MoveSession.ts';
import type { MoveStatus } from '../../state/MoveStatus.ts';

const GOOD: Fault = () => ({});
const FAILING: Fault = () => ({ fails: true });

const finalStates = ({ history }: MemoryPlatform): readonly string[] =>
  history
    .filter(({ kind }) => kind === 'movestatuses')
    .map(({ value }) => (value as MoveStatus).state._tag)
    .filter((state) => state === 'done' || state === 'reverted');

const runSession = (
  body: (parts: { platform: MemoryPlatform; entry: MoveSession }) => Effect.Effect<void>,
): Promise<void> => {
  const platform = new MemoryPlatform();
  const engines = makeEngines();
  const entry = new MoveSession(platform, 'one', makeBundle(1, [makeMove()]), engines);
  const whole = Effect.gen(function* run() {
    yield* entry.start();
    yield* body({ platform, entry });
  });
  return Effect.runPromise(Effect.provide(Effect.scoped(whole), TestClock.layer()));
};

test('a failing version gets no more requests during a store outage, and its move is reverted afterwards', () =>
  runSession(({ platform, entry }) =>
    Effect.gen(function* body() {
      yield* entry.serve(1_000, GOOD);
      platform.setAway(true);
      yield* entry.serve(2_000, FAILING);
      expect(entry.routing()?.condemned).toEqual(['v2']);
      const before = entry.served.new;
      yield* entry.serve(5_000, FAILING);
      expect(entry.served.new).toEqual(before);
      expect(finalStates(platform)).toEqual([]);
      platform.setAway(false);
      yield* entry.serve(5_000, FAILING);
      expect(finalStates(platform)).toEqual(['reverted']);
    }),
  ));

test('the move to a healthy version is reverted if a store outage lasts past the deadline', () =>
  runSession(({ platform, entry }) =>
    Effect.gen(function* body() {
      yield* entry.serve(1_000, GOOD);
      platform.setAway(true);
      yield* entry.serve(58_000, GOOD);
      expect(entry.routing()?.candidate?.share).toEqual(0.1);
      yield* entry.serve(2_000, GOOD);
      expect(entry.routing()?.stable).toEqual('v1');
      expect(entry.routing()?.candidate).toEqual(undefined);
      platform.setAway(false);
      yield* entry.serve(5_000, GOOD);
      expect(finalStates(platform)).toEqual(['reverted']);
    }),
  ));

const LOST: readonly (readonly [string, Partial<MemoryPlatform['faults']>])[] = [
  ['one lost reply', { loseAnswers: 1 }],
  ['three lost replies', { loseAnswers: 3 }],
  ['one lost write', { loseWrites: 1 }],
  ['two write conflicts', { conflicts: 2 }],
];

LOST.forEach(([name, faults]) => {
  [100, 400, 1_500, 2_600, 3_600].forEach((at) => {
    test(`a move ends exactly once despite ${name} after ${at} ms`, () =>
      runSession(({ platform, entry }) =>
        Effect.gen(function* body() {
          yield* entry.serve(at, GOOD);
          Object.assign(platform.faults, faults);
          yield* entry.serve(30_000, GOOD);
          expect(finalStates(platform)).toEqual(['done']);
          expect(entry.routing()?.stable).toEqual('v2');
        }),
      ));
  });
});
