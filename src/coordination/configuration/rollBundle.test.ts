import { test } from 'node:test';
import { expect } from 'earl';
import * as Effect from 'effect/Effect';
import { makeBundle, makeMove, START } from '../../../test/fakes/makeBundle.ts';
import { MemoryPlatform, type PlatformFaults } from '../../../test/fakes/MemoryPlatform.ts';
import { approveBundle } from './approveBundle.ts';
import { proposeBundle } from './proposeBundle.ts';
import { rollBundle } from './rollBundle.ts';

const ANA = { operator: 'ana', nonce: 'n1' };
const BEN = { operator: 'ben', nonce: 'n2' };

const prepare = (platform: MemoryPlatform, version: number, moves = [makeMove()]) =>
  Effect.gen(function* prepareBundle() {
    const bundle = makeBundle(version, moves);
    const proposed = yield* proposeBundle(platform, bundle, bundle, ANA);
    const digest = proposed._tag === 'done' ? proposed.digest : '';
    yield* approveBundle(platform, `snow-${version}`, digest, ANA);
    return digest;
  });

const roll = (platform: MemoryPlatform, version: number, action = ANA, wallNow = START) =>
  rollBundle(platform, `snow-${version}`, action, wallNow);

const rollsWritten = ({ history }: MemoryPlatform): number =>
  history.filter(({ kind }) => kind === 'rolls').length;

test('a bundle is rolled only once it is approved by its digest', async () => {
  const platform = new MemoryPlatform();
  const bundle = makeBundle(1);
  await Effect.runPromise(proposeBundle(platform, bundle, bundle, ANA));
  expect((await Effect.runPromise(roll(platform, 1)))._tag).toEqual('refused');
  const wrong = await Effect.runPromise(approveBundle(platform, 'snow-1', 'sha256:0', BEN));
  expect(wrong._tag).toEqual('refused');
  await Effect.runPromise(prepare(platform, 1, []));
  expect(await Effect.runPromise(roll(platform, 1))).toLooseEqual({
    _tag: 'done',
    bundle: 'snow-1',
    digest: await Effect.runPromise(prepare(platform, 1, [])),
    rollNumber: 1,
    repeated: false,
  });
});

test('a proposal under a version that is already taken is answered with the operator of the first proposal', async () => {
  const platform = new MemoryPlatform();
  await Effect.runPromise(prepare(platform, 1));
  const other = makeBundle(1);
  const lost = await Effect.runPromise(proposeBundle(platform, other, other, BEN));
  expect(lost._tag === 'lost' && lost.operator).toEqual('ana');
});

test('when two operators roll concurrently, one succeeds and the other receives the name of an operator', async () => {
  const platform = new MemoryPlatform();
  await Effect.runPromise(prepare(platform, 1));
  await Effect.runPromise(prepare(platform, 2));
  const outcomes = await Effect.runPromise(
    Effect.all([roll(platform, 2, ANA), roll(platform, 1, BEN)], { concurrency: 'unbounded' }),
  );
  expect(outcomes.filter(({ _tag }) => _tag === 'done').length).toEqual(1);
  const lost = outcomes.find(({ _tag }) => _tag === 'lost');
  expect(lost?._tag === 'lost' && ['ana', 'ben'].includes(lost.operator)).toEqual(true);
  expect(rollsWritten(platform)).toEqual(1);
});

test('a lower version never replaces a higher one, and a move in progress keeps its deadline', async () => {
  const platform = new MemoryPlatform();
  await Effect.runPromise(prepare(platform, 1));
  await Effect.runPromise(prepare(platform, 2));
  await Effect.runPromise(roll(platform, 2));
  expect((await Effect.runPromise(roll(platform, 1, BEN)))._tag).toEqual('lost');
  await Effect.runPromise(prepare(platform, 3));
  const late = await Effect.runPromise(roll(platform, 3, BEN, START + 59_500));
  expect(late._tag).toEqual('done');
});

const FAULTS: readonly (readonly [string, Partial<PlatformFaults>, string, number])[] = [
  ['the response to the write is lost', { loseAnswers: 1 }, 'done', 1],
  ['one response and two writes are lost', { loseAnswers: 1, loseWrites: 2 }, 'done', 1],
  ['the write is lost before it takes effect', { loseWrites: 1 }, 'done', 1],
  ['every write is lost', { loseWrites: 99 }, 'unknown', 0],
  ['the store is unavailable', { away: true }, 'unavailable', 0],
];

FAULTS.forEach(([name, faults, outcome, written]) => {
  test(`a roll ends with outcome ${outcome} and ${written} writes when ${name}`, async () => {
    const platform = new MemoryPlatform();
    await Effect.runPromise(prepare(platform, 1));
    Object.assign(platform.faults, faults);
    expect((await Effect.runPromise(roll(platform, 1)))._tag).toEqual(outcome as 'done');
    expect(rollsWritten(platform)).toEqual(written);
  });
});
