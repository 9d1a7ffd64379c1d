import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { Grant } from '../../protocol/peer/PeerMessage.ts';
import { RequestHome } from './RequestHome.ts';
import type { HomeAction, HomeDependencies } from './HomeAction.ts';
import type { HomeRequest } from './RequestRecord.ts';

const SELF = 'self';
const USAGE = { promptTokens: 10, cachedTokens: 0, outputTokens: 5 };

const makeDependencies = (changes: Partial<HomeDependencies> = {}): HomeDependencies => ({
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

const tags = (actions: readonly HomeAction[]): string[] =>
  actions.map((action) =>
    action._tag === 'send' ? `${action.message._tag}>${action.to}` : action._tag,
  );

test('a repeated grant causes no second dispatch, and a grant from another scheduler is released', () => {
  const home = new RequestHome(makeDependencies());
  home.accept(requestOf('a'), 0);
  expect(tags(grant(home, 'other', 'a', 1))).toEqual(['dispatch']);
  expect(tags(grant(home, 'other', 'a', 2))).toEqual([]);
  const late = home.receiveGrants('third', { _tag: 'granted', grants: [grantOf('a', 'e2')] }, 3);
  expect(tags(late)).toEqual(['release>third']);
});

test('a grant that arrives after the lease has lapsed is released unused', () => {
  let leased = true;
  const home = new RequestHome(makeDependencies({ mayDispatch: () => leased }));
  home.accept(requestOf('a'), 0);
  leased = false;
  expect(tags(grant(home, 'other', 'a', 1))).toEqual(['release>other']);
  expect(tags(home.rejectWaiting('entry_lost', 2))).toEqual(['withdraw>other', 'finish', 'decide']);
  expect(home.status('a')).toEqual({
    _tag: 'ended',
    outcome: { _tag: 'notRun', reason: 'entry_lost', retryAfterMs: 500 },
  });
});

test('a waiting request moves to the new scheduler, which first gets a report of the running requests', () => {
  let scheduler = 'first';
  const home = new RequestHome(makeDependencies({ findScheduler: () => scheduler }));
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

test('a request that another member may hold as waiting is never granted by its own home', () => {
  let first = 'other';
  const home = new RequestHome(
    makeDependencies({
      findScheduler: (_pool, _now, excluded) => (first === excluded ? 'third' : first),
    }),
  );
  home.accept(requestOf('reserved elsewhere'), 0);
  first = SELF;
  home.accept(requestOf('new'), 1);
  const actions = tags(home.tick(10, () => false));
  expect(actions).toEqual(['withdraw>other', 'decide', 'reserve>third']);
});

test('a request is retried on other endpoints after refused connections, up to a limit', () => {
  const home = new RequestHome(makeDependencies());
  home.accept(requestOf('a'), 0);
  const outcomes = ['e1', 'e2', 'e3', 'e4'].map((endpoint) => {
    home.receiveGrants('other', { _tag: 'granted', grants: [grantOf('a', endpoint)] }, 1);
    return tags(home.retryElsewhere('a', 2));
  });
  expect(outcomes[0]).toEqual(['release>other', 'reserve>other']);
  expect(outcomes[3]).toEqual(['release>other', 'finish', 'decide']);
});

test('a caller that leaves cancels an idempotent request but not a non-idempotent one', () => {
  const home = new RequestHome(makeDependencies());
  home.accept(requestOf('chat'), 0);
  home.accept(requestOf('hold', { idempotent: false }), 0);
  grant(home, 'other', 'chat', 1);
  grant(home, 'other', 'hold', 1);
  expect(tags(home.handleCallerLeft('chat', 2))).toEqual([
    'cancelCall',
    'release>other',
    'finish',
    'decide',
  ]);
  expect(tags(home.handleCallerLeft('hold', 2))).toEqual([]);
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

test('in every interleaving of events a request is dispatched at most once and ends exactly once', () => {
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
      makeDependencies({ mayDispatch: () => leased, findScheduler: () => scheduler }),
    );
    const take = (actions: readonly HomeAction[]): void =>
      actions.forEach((action) => {
        if (action._tag === 'dispatch') {
          expect(open.has(action.request.id)).toEqual(false);
          expect(finished.has(action.request.id)).toEqual(false);
          expect(leased).toEqual(true);
          open.add(action.request.id);
        }
        if (action._tag === 'finish') finished.set(action.id, (finished.get(action.id) ?? 0) + 1);
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
          // The endpoint certainly received nothing, so another dispatch is allowed.
          open.delete(id);
          take(home.retryElsewhere(id, now));
          return;
        case 'leave':
          take(home.handleCallerLeft(id, now));
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
