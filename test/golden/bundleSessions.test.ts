import { test } from 'node:test';
import * as Effect from 'effect/Effect';
import { TestClock } from 'effect/testing';
import {
  approveBundle,
  proposeBundle,
  rollBundle,
  listBundles,
} from '../../src/coordination/configuration/index.ts';
import { listMoves } from '../../src/coordination/moves/index.ts';
import type { Bundle } from '../../src/state/Bundle.ts';
import { makeBundle, makeMove, START } from '../fakes/makeBundle.ts';
import { MemoryPlatform } from '../fakes/MemoryPlatform.ts';
import { makeEngines, MoveSession } from '../fakes/MoveSession.ts';
import type { Fault } from '../fakes/MoveSession.ts';
import { compareWithGolden } from './compareWithGolden.ts';

const GOOD: Fault = () => ({});
const FAILING: Fault = () => ({ fails: true });

const ANA = { operator: 'ana', nonce: 'ana-1' };
const BEN = { operator: 'ben', nonce: 'ben-1' };

/** A whole session of operators, one entry and the store, in virtual time, with its record. */
class RecordedSession {
  readonly platform = new MemoryPlatform();

  readonly lines: string[] = [];

  private readonly bundle: Bundle = makeBundle(1, [makeMove()]);

  private readonly engines = makeEngines();

  readonly entry = new MoveSession(this.platform, 'entry', this.bundle, this.engines);

  private toldOfEntry = 0;

  private toldOfStore = 0;

  note(what: string, value: unknown): void {
    this.lines.push(`${what}: ${JSON.stringify(value)}`);
  }

  /** Proposes, approves and rolls the bundle. */
  takeInForce(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* take() {
      const { platform, bundle } = this;
      const proposed = yield* proposeBundle(platform, bundle, bundle, ANA);
      this.note('propose', proposed);
      this.note('roll too early', yield* rollBundle(platform, 'snow-1', ANA, START));
      const digest = proposed._tag === 'done' ? proposed.digest : '';
      this.note('approve', yield* approveBundle(platform, 'snow-1', digest, BEN));
      this.note('roll', yield* rollBundle(platform, 'snow-1', ANA, START));
      this.note('show', yield* listBundles(platform));
    });
  }

  /** Lets requests run and records what entry and store went through meanwhile. */
  serve(what: string, forMs: number, fault: Fault): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* serve() {
      this.lines.push('', `${what}, for ${forMs} ms`);
      yield* this.entry.serve(forMs, fault);
      const { log, served } = this.entry;
      this.lines.push(...log.slice(this.toldOfEntry));
      this.toldOfEntry = log.length;
      const { history } = this.platform;
      history
        .slice(this.toldOfStore)
        .filter(({ kind }) => kind === 'movestatuses')
        .forEach(({ name, value }) => this.note(`store ${name}`, value));
      this.toldOfStore = history.length;
      this.note('requests served so far', served);
      this.note('routing', this.entry.routing());
    });
  }

  /** Records what operators read back. */
  readBack(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* read() {
      this.lines.push('');
      this.note('move list', yield* listMoves(this.platform));
    });
  }
}

const record = (name: string, play: (session: RecordedSession) => Effect.Effect<void>) => {
  const session = new RecordedSession();
  const whole = Effect.gen(function* run() {
    yield* session.takeInForce();
    yield* session.entry.start();
    yield* play(session);
    yield* session.readBack();
  });
  return Effect.runPromise(Effect.provide(Effect.scoped(whole), TestClock.layer())).then(() =>
    compareWithGolden(name, session.lines),
  );
};

test('a bundle from its proposal to a move that is done', () =>
  record('moveDone', (session) => session.serve('a good version', 10_000, GOOD)));

test('a bundle whose move is taken back as the new version fails', () =>
  record('moveTakenBack', (session) =>
    Effect.gen(function* play() {
      yield* session.serve('a good version', 2_000, GOOD);
      yield* session.serve('the new version fails', 3_000, FAILING);
      yield* session.serve('nothing more is sent to it', 3_000, FAILING);
    }),
  ));

test('a move whose deadline passes while the store is away', () =>
  record('storeAwayAcrossDeadline', (session) =>
    Effect.gen(function* play() {
      yield* session.serve('a good version', 1_000, GOOD);
      session.platform.setAway(true);
      yield* session.serve('the store is away', 58_000, GOOD);
      yield* session.serve('the deadline passes', 2_000, GOOD);
      session.platform.setAway(false);
      yield* session.serve('the store is back', 5_000, GOOD);
    }),
  ));
