import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import {
  POLICY,
  poolBundle,
  poolReservation,
  poolRouting,
  TIMING,
} from '../../../test/fakes/schedulingInputs.ts';
import type { Action } from '../Action.ts';
import { PoolScheduler } from './PoolScheduler.ts';
import { VersionSplit } from './VersionSplit.ts';

const candidate = (share: number, maximumInFlight = 0) => ({
  move: 'm',
  version: 'v2',
  share,
  maximumInFlight,
});

const versionsGranted = (actions: readonly Action[]): readonly string[] =>
  actions.flatMap((action) =>
    action._tag === 'send' && action.message._tag === 'granted'
      ? action.message.grants.map(({ version }) => version)
      : [],
  );

test('the candidate receives its share of a route to within one request at any time', () => {
  fc.assert(
    fc.property(fc.double({ min: 0.01, max: 0.99, noNaN: true }), (share) => {
      const split = new VersionSplit();
      split.configure(poolRouting({ candidate: candidate(share) }));
      let candidateCount = 0;
      for (let count = 1; count <= 500; count += 1) {
        const version = split.preferredVersions('r', 0, 0)[0]!;
        split.recordPlacement('r', version, 0);
        if (version === 'v2') candidateCount += 1;
        expect(Math.abs(candidateCount - share * count) <= 1).toEqual(true);
      }
    }),
    { seed: 5, numRuns: 50 },
  );
});

test('a fault of the candidate is followed by three probes, one in flight at a time', () => {
  const split = new VersionSplit();
  split.configure(poolRouting({ candidate: candidate(0.01) }));
  const serve = (inFlight: number, now: number): string | undefined => {
    const [version] = split.preferredVersions('r', inFlight, now);
    split.recordPlacement('r', version ?? '', now);
    return version;
  };
  expect(serve(0, 0)).toEqual('v1');
  split.recordFault('v2', 10);
  expect([serve(0, 10), serve(1, 11), serve(0, 12), serve(0, 13), serve(0, 14)]).toEqual([
    'v2',
    'v1',
    'v2',
    'v2',
    'v1',
  ]);
  split.recordFault('v1', 20);
  expect(serve(0, 20)).toEqual('v1');
  split.recordFault('v2', 30);
  expect(serve(0, 5_000)).toEqual('v1');
});

const twoVersions = poolBundle([{ slots: 20 }, { slots: 20, version: 'v2' }]);

test('the candidate never has more requests in flight than its maximum', () => {
  const scheduler = new PoolScheduler({ pool: 'p', policy: POLICY, timing: TIMING });
  const routing = poolRouting({ candidate: candidate(0.5, 3) });
  scheduler.configure({ bundle: twoVersions, routing, leaving: new Set() }, 0);
  const reservations = Array.from({ length: 20 }, (_, index) => poolReservation(`r${index}`));
  const versions = versionsGranted(scheduler.reserve('home', reservations, 0));
  expect(versions.filter((version) => version === 'v2').length).toEqual(3);
  expect(versions.length).toEqual(20);
});

test('a condemned version receives no more requests, not even those that are already waiting', () => {
  const scheduler = new PoolScheduler({ pool: 'p', policy: POLICY, timing: TIMING });
  const bundle = poolBundle([{ slots: 1 }, { slots: 1, version: 'v2' }]);
  const routing = poolRouting({ candidate: candidate(1) });
  scheduler.configure({ bundle, routing, leaving: new Set() }, 0);
  const reservations = ['a', 'b', 'c'].map((id) => poolReservation(id));
  scheduler.reserve('home', reservations, 0);
  const condemned = poolRouting({ condemned: ['v2'] });
  scheduler.configure({ bundle, routing: condemned, leaving: new Set() }, 10);
  expect(versionsGranted(scheduler.withdraw('home', ['a'], 20))).toEqual([]);
  expect(versionsGranted(scheduler.withdraw('home', ['b'], 30))).toEqual(['v1']);
});

test('a scheduler that takes over a pool grants no slot that an owner reports as taken', () => {
  const scheduler = new PoolScheduler({ pool: 'p', policy: POLICY, timing: TIMING });
  const input = {
    bundle: poolBundle([{ slots: 2 }]),
    routing: poolRouting(),
    leaving: new Set(''),
  };
  scheduler.configure(input, 0);
  const grantFields = { pool: 'p', endpoint: 'e0', version: 'v1', estimateMs: 500 };
  const grants = ['a', 'b'].map((id) => ({
    grant: { id, ...grantFields },
    reservation: poolReservation(id),
    suspended: id === 'b',
  }));
  const resumed = scheduler.adoptGrants('home', { _tag: 'inFlight', pool: 'p', grants }, 0);
  const isResume = (action: Action): boolean =>
    action._tag === 'send' && action.message._tag === 'resume';
  expect(resumed.some(isResume)).toEqual(true);
  expect(versionsGranted(scheduler.reserve('home', [poolReservation('c')], 10))).toEqual([]);
  expect(scheduler.findingOf('a', false)).toEqual('granted');
  expect(versionsGranted(scheduler.withdraw('home', ['a'], 20))).toEqual(['v1']);
});
