import { test } from 'node:test';
import { readFileSync, writeFileSync } from 'node:fs';
import { expect } from 'earl';
import * as Effect from 'effect/Effect';
import { TestClock } from 'effect/testing';
import { makeBundle, makeMove, START } from '../../../test/fakes/makeBundle.ts';
import { MemoryPlatform } from '../../../test/fakes/MemoryPlatform.ts';
import { makeEngines, MoveSession, type Fault } from '../../../test/fakes/MoveSession.ts';
import { approveBundle, proposeBundle, rollBundle } from '../configuration/index.ts';
import { listMoves } from './listMoves.ts';

const GOOD: Fault = () => ({});
const FAILING: Fault = ({ route }) => ({ fails: route === 'bulletin' });

const STEP = { operator: 'ana', nonce: 'n' };

const operate = (platform: MemoryPlatform) =>
  Effect.gen(function* operateBundle() {
    const bundle = makeBundle(1, [makeMove()]);
    const proposed = yield* proposeBundle(platform, bundle, bundle, STEP);
    const digest = proposed._tag === 'done' ? proposed.digest : '';
    const approved = yield* approveBundle(platform, 'snow-1', digest, STEP);
    const rolled = yield* rollBundle(platform, 'snow-1', STEP, START);
    return [proposed, approved, rolled].map((outcome) => JSON.stringify(outcome));
  });

const record = async (
  body: (entry: MoveSession, platform: MemoryPlatform) => Effect.Effect<void>,
): Promise<string> => {
  const platform = new MemoryPlatform();
  const entry = new MoveSession(platform, 'one', makeBundle(1, [makeMove()]), makeEngines());
  const whole = Effect.gen(function* session() {
    const steps = yield* operate(platform);
    yield* entry.start();
    yield* body(entry, platform);
    const rows = yield* listMoves(platform);
    const writes = platform.history.map(({ kind, name }) => `${kind}/${name}`);
    const routing = JSON.stringify(entry.routing());
    return [...steps, ...entry.log, JSON.stringify(rows), routing, ...writes].join('\n');
  });
  return Effect.runPromise(Effect.provide(Effect.scoped(whole), TestClock.layer()));
};

const SESSIONS: readonly (readonly [
  string,
  (entry: MoveSession, platform: MemoryPlatform) => Effect.Effect<void>,
])[] = [
  ['move-done', (entry) => entry.serve(8_000, GOOD)],
  ['move-taken-back', (entry) => entry.serve(8_000, FAILING)],
  [
    'move-outage-across-deadline',
    (entry, platform) =>
      Effect.gen(function* outage() {
        yield* entry.serve(2_000, GOOD);
        platform.setAway(true);
        yield* entry.serve(60_000, GOOD);
        platform.setAway(false);
        yield* entry.serve(3_000, GOOD);
      }),
  ],
];

SESSIONS.forEach(([name, body]) => {
  test(`the session ${name} goes as recorded`, async () => {
    const file = new URL(`../../../test/golden/${name}.txt`, import.meta.url);
    const seen = `${await record(body)}\n`;
    // Recorded anew on purpose only, and read before it is committed.
    if (process.env.RECORD_GOLDEN === '1') writeFileSync(file, seen);
    expect(seen).toEqual(readFileSync(file, 'utf8'));
  });
});
