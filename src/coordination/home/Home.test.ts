import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { Grant } from '../../protocol/peer/PeerMessage.ts';
import { RequestHome } from './Home.ts';
import type { HomeAction, HomeSurroundings } from './HomeStep.ts';
import type { HomeRequest } from './RequestRecord.ts';

const SELF = 'self';
const USAGE = { promptTokens: 10, cachedTokens: 0, outputTokens: 5 };

const surroundings = (changes: Partial<HomeSurroundings> = {}): HomeSurroundings => ({
  incarnation: () => SELF,
  mayDispatch: () => true,
  mayUseVersion: () => true,
  findScheduler: () => 'other',
  acquireQuota: () => ({ _tag: 'admitted' }),
  releaseQuota: () => undefined,
  randomRetryAfterMs: () => 500,
  ...changes,
});

const requestOf = (id: string, changes: Partial<HomeRequest> = {}): HomeRequest => ({
  id,
  account: 'office',
  tierRank: 0,
  pool: 'lookups',
  route: '/v1/chat/completions',
  promptTokens: 10,
  outputTokens: 5,
  idempotent: true,
  suspendable: true,
  prefixes: [],
  receivedAt: 0,
  deadlineAt: 10_000,
  ...changes,
});

const grantOf = (id: string, endpoint = 'e1'): Grant => ({
  id,
  pool: 'lookups',
  endpoint,
  version: 'v1',
  estimateMs: 5,
});

const grant = (home: RequestHome, from: string, id: string, now: number): HomeAction[] =>
  home.receiveGrants(from, { _tag: 'granted', grants: [grantOf(id)] }, now);

const tags = (steps: readonly HomeAction[]): string[] =>
  steps.map((step) => (step._tag === 'send' ? `${step.message._tag}>${step.to}` : step._tag));

test('a repeated grant dispatches nothing more, and one from another scheduler is given back', () => {
  const home = new RequestHome(surroundings());
  home.accept(requestOf('a'), 0);
  expect(tags(grant(home, 'other', 'a', 1))).toEqual(['dispatch']);
  expect(tags(grant(home, 'other', 'a', 2))).toEqual([]);
  const late = home.receiveGrants('third', { _tag: 'granted', grants: [grantOf('a', 'e2')] }, 3);
  expect(tags(late)).toEqual(['release>third']);
});

test('a grant that comes after the lease has lapsed is given back unused', () => {
  let leased = true;
  const home = new RequestHome(surroundings({ mayDispatch: () => leased }));
  home.accept(requestOf('a'), 0);
  leased = false;
  expect(tags(grant(home, 'other', 'a', 1))).toEqual(['release>other']);
  expect(tags(home.rejectWaiting('entry_lost', 2))).toEqual(['withdraw>other', 'finish', 'decide']);
  expect(home.status('a')).toEqual({
    _tag: 'ended',
    outcome: { _tag: 'notRun', reason: 'entry_lost', retryAfterMs: 500 },
  });
});

test('a waiting request moves to the next scheduler, and what runs is told to it first', () => {
  let scheduler = 'first';
  const home = new RequestHome(surroundings({ findScheduler: () => scheduler }));
  home.accept(requestOf('running'), 0);
  grant(home, 'first', 'running', 1);
  home.accept(requestOf('waiting'), 2);
  scheduler = 'second';
  const moved = tags(home.tick(20, () => false));
  expect(moved.slice(0, 4)).toEqual([
    'withdraw>first',
    'decide',
    'inFlight>second',
    'reserve>second',
  ]);
});

test('a request that another member may vouch for is never granted to oneself', () => {
  let first = 'other';
  const home = new RequestHome(
    surroundings({
      findScheduler: (_pool, _now, excluded) => (first === excluded ? 'third' : first),
    }),
  );
  home.accept(requestOf('reserved elsewhere'), 0);
  first = SELF;
  home.accept(requestOf('new'), 1);
  const steps = tags(home.tick(10, () => false));
  expect(steps).toEqual(['withdraw>other', 'decide', 'reserve>third']);
});

test('a connection that was refused lets the request go elsewhere, a few times', () => {
  const home = new RequestHome(surroundings());
  home.accept(requestOf('a'), 0);
  const outcomes = ['e1', 'e2', 'e3', 'e4'].map((endpoint) => {
    home.receiveGrants('other', { _tag: 'granted', grants: [grantOf('a', endpoint)] }, 1);
    return tags(home.retryElsewhere('a', 2));
  });
  expect(outcomes[0]).toEqual(['release>other', 'reserve>other']);
  expect(outcomes[3]).toEqual(['release>other', 'finish', 'decide']);
});

test('a caller that leaves stops an idempotent request but not one that may not be repeated', () => {
  const home = new RequestHome(surroundings());
  home.accept(requestOf('chat'), 0);
  home.accept(requestOf('hold', { idempotent: false }), 0);
  grant(home, 'other', 'chat', 1);
  grant(home, 'other', 'hold', 1);
  expect(tags(home.callerLeft('chat', 2))).toEqual([
    'cancelCall',
    'release>other',
    'finish',
    'decide',
  ]);
  expect(tags(home.callerLeft('hold', 2))).toEqual([]);
  expect(tags(home.complete('hold', USAGE, 'completed', 3))).toEqual([
    'release>other',
    'finish',
    'decide',
  ]);
});

const EVENTS = [
  'grant',
  'refuse',
  'fail',
  'complete',
  'connect',
  'leave',
  'tick',
  'pause',
] as const;

test('through any interleaving a request is dispatched at most once and ends exactly once', () => {
  const event = fc.record({
    kind: fc.constantFrom(...EVENTS),
    id: fc.constantFrom('a', 'b', 'c'),
    from: fc.constantFrom('s1', 's2', SELF),
    endpoint: fc.constantFrom('e1', 'e2'),
    wait: fc.integer({ min: 0, max: 900 }),
  });
  const run = (
    events: readonly (typeof event extends fc.Arbitrary<infer T> ? T : never)[],
  ): void => {
    let now = 0;
    let leased = true;
    let scheduler = 's1';
    const open = new Set<string>();
    const finished = new Map<string, number>();
    const home = new RequestHome(
      surroundings({ mayDispatch: () => leased, findScheduler: () => scheduler }),
    );
    const take = (steps: readonly HomeAction[]): void =>
      steps.forEach((step) => {
        if (step._tag === 'dispatch') {
          expect(open.has(step.request.id)).toEqual(false);
          expect(finished.has(step.request.id)).toEqual(false);
          expect(leased).toEqual(true);
          open.add(step.request.id);
        }
        if (step._tag === 'finish') finished.set(step.id, (finished.get(step.id) ?? 0) + 1);
      });
    ['a', 'b', 'c'].forEach((id) => take(home.accept(requestOf(id), now)));
    events.forEach(({ kind, id, from, endpoint, wait }) => {
      now += wait;
      switch (kind) {
        case 'grant':
          take(home.receiveGrants(from, { _tag: 'granted', grants: [grantOf(id, endpoint)] }, now));
          return;
        case 'refuse':
          take(
            home.receiveRefusal(
              from,
              { _tag: 'refused', id, reason: 'overloaded', retryAfterMs: 1 },
              now,
            ),
          );
          return;
        case 'fail':
          take(home.fail(id, 'endpoint_failed', now));
          return;
        case 'complete':
          take(home.complete(id, USAGE, 'completed', now));
          return;
        case 'connect':
          // The endpoint surely received nothing, so another dispatch is allowed.
          open.delete(id);
          take(home.retryElsewhere(id, now));
          return;
        case 'leave':
          take(home.callerLeft(id, now));
          return;
        case 'tick':
          scheduler = from;
          take(home.tick(now, () => false));
          return;
        case 'pause':
          leased = !leased;
          return;
        default:
          kind satisfies never;
      }
    });
    take(home.tick(20_000, () => false));
    expect(home.size).toEqual(0);
    expect([...finished.values()]).toEqual([1, 1, 1]);
  };
  fc.assert(fc.property(fc.array(event, { maxLength: 40 }), run), { seed: 20261203, numRuns: 500 });
});
