import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { PlacementTicket } from '../../protocol/peer/Placement.ts';
import type { EndpointRecord, Route, RouteTable } from '../../state/gateway/index.ts';
import { adviseReturn } from './adviseReturn.ts';
import { CallerPatience } from './CallerPatience.ts';
import { pickService } from './pickService.ts';
import { PlacementScheduler } from './PlacementScheduler.ts';
import { PlainEndpoints } from './PlainEndpoints.ts';
import { RetryBudget } from './RetryBudget.ts';
import { RouteIndex } from './RouteIndex.ts';

const route = (name: string, pathPrefix: string, more: Partial<Route> = {}): Route => ({
  name,
  host: 'desk.example',
  pathPrefix,
  kind: 'safe',
  timeoutMs: 1_000,
  targetLatencyMs: 100,
  targetGapMs: 500,
  priority: 1,
  services: [{ service: 'plain', weight: 1 }],
  maximumAttempts: 2,
  anonymous: false,
  resumable: false,
  ...more,
});

const endpoint = (id: string): EndpointRecord => ({
  id,
  service: 'model',
  address: '10.0.0.1:80',
  failureDomain: 'a',
  version: 'v1',
  slots: 2,
  state: 'ready',
  coldMs: 0,
  bornAt: 1,
});

const ticket = (id: string, more: Partial<PlacementTicket> = {}): PlacementTicket => ({
  id,
  service: 'model',
  route: 'quote',
  accountPriority: 1,
  priority: 1,
  promptTokens: 600,
  outputTokens: 100,
  quotaUnits: 0,
  targetMs: 500,
  gapMs: 500,
  tokensPerEvent: 5,
  remainingMs: 15_000,
  avoid: [],
  ...more,
});

describe('RouteIndex', () => {
  const table: RouteTable = {
    version: 1,
    routes: [
      route('short', '/a/'),
      route('long', '/a/b/'),
      route('open', '/open/', { anonymous: true }),
    ],
    services: [],
    accounts: [
      {
        name: 'office',
        keys: ['k'],
        quota: { unit: 'tokens', ratePerSecond: 0, burst: 0, defaultTokens: 1 },
      },
    ],
    limits: {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
  const index = new RouteIndex(table);
  const CASES = [
    { target: '/a/x', key: 'k', expected: 'short' },
    { target: '/a/b/x?q=/a/', key: 'k', expected: 'long' },
    { target: '/a/b', key: 'k', expected: 'short' },
    { target: '/A/', key: 'k', expected: 'noRoute' },
    { target: '/a/', key: undefined, expected: 'unknownKey' },
    { target: '/a/', key: 'K', expected: 'unknownKey' },
    { target: '/open/', key: undefined, expected: 'open' },
  ];
  CASES.forEach(({ target, key, expected }) =>
    it(`gives ${expected} for ${target} with the key ${key}`, () => {
      const match = index.match('DESK.example:8080', target, key);
      expect(match._tag === 'matched' ? match.route.name : match._tag).toEqual(expected);
    }),
  );
});

describe('pickService', () => {
  it('splits by weight', () => {
    const split = route('r', '/', {
      services: [
        { service: 'a', weight: 90 },
        { service: 'b', weight: 10 },
      ],
    });
    expect([0, 0.89, 0.91, 0.999].map((fraction) => pickService(split, fraction))).toEqual([
      'a',
      'a',
      'b',
      'b',
    ]);
  });
});

describe('RetryBudget', () => {
  it('keeps the sum of all processes within the bound', () => {
    const members = 6;
    const budgets = Array.from(
      { length: members },
      () => new RetryBudget({ ratio: 0.2, slack: 52, windowMs: 10_000 }),
    );
    const repeats = budgets.reduce((sum, budget) => {
      Array.from({ length: 50 }, () => budget.countRequest('plain', 0));
      const granted = Array.from({ length: 100 }, () => budget.tryRepeat('plain', members, 1));
      return sum + granted.filter(Boolean).length;
    }, 0);
    expect(repeats).toBeLessThanOrEqual(0.2 * 300 + 52);
    expect(repeats).toBeGreaterThan(60);
  });

  it('forgets what lies before its window', () => {
    const budget = new RetryBudget({ ratio: 0, slack: 2, windowMs: 1_000 });
    expect([0, 1, 1_500].map((at) => budget.tryRepeat('plain', 1, at))).toEqual([
      true,
      false,
      true,
    ]);
  });
});

describe('CallerPatience', () => {
  it('tells how long a caller has waited that comes back with less time left', () => {
    const patience = new CallerPatience();
    const waited = [3_000, 2_960, 2_000, 3_000].map((ms) => patience.waitedBefore('r', ms));
    expect(waited.map((ms) => Math.round(ms / 100))).toEqual([0, 0, 10, 0]);
  });

  it('takes callers of one route that wait a little less for first tries all the same', () => {
    const patience = new CallerPatience();
    const deadlines = Array.from({ length: 40 }, (_, index) => 15_000 - index * 55);
    expect(deadlines.map((ms) => patience.waitedBefore('r', ms)).filter((ms) => ms > 0)).toEqual(
      [],
    );
  });

  it('follows callers that begin with shorter deadlines from now on', () => {
    const patience = new CallerPatience();
    patience.waitedBefore('r', 15_000);
    const later = Array.from({ length: 400 }, () => patience.waitedBefore('r', 6_000));
    expect(later.at(-1)).toEqual(0);
  });
});

describe('adviseReturn', () => {
  it('says a longer time the less of a route was served', () => {
    const times = [1, 0.5, 0].map((share) => adviseReturn('id', 100, share));
    expect(times).toEqual([...times].sort((a, b) => a - b));
    expect(times[0] ?? 0).toBeLessThan(500);
  });
});

describe('PlainEndpoints', () => {
  const records = [endpoint('1'), endpoint('2')];

  it('picks the less loaded endpoint', () => {
    const plain = new PlainEndpoints();
    plain.begin(records[0] as EndpointRecord);
    expect(plain.pick(records, [], 0, 0)?.id).toEqual('2');
  });

  it('avoids an endpoint that can not be reached, for a while', () => {
    const plain = new PlainEndpoints();
    plain.recordEnd(records[0] as EndpointRecord, 'unreachable', 0, 0);
    expect(plain.pick([records[0] as EndpointRecord], [], 0, 100)).toEqual(undefined);
    expect(plain.pick([records[0] as EndpointRecord], [], 0, 5_000)?.id).toEqual('1');
  });

  it('prefers an endpoint that fails less, and uses a failing one where it is the only one', () => {
    const plain = new PlainEndpoints();
    const [failing, sound] = records as [EndpointRecord, EndpointRecord];
    Array.from({ length: 10 }, () => plain.recordEnd(failing, 'failed', 10, 0));
    expect(plain.pick(records, [], 0, 0)?.id).toEqual(sound.id);
    expect(plain.pick([failing], [], 0, 0)?.id).toEqual(failing.id);
  });
});

describe('PlacementScheduler', () => {
  const make = (...ids: string[]): PlacementScheduler => {
    const scheduler = new PlacementScheduler();
    scheduler.setEngines(ids.map(endpoint));
    return scheduler;
  };
  const outcomes = (scheduler: PlacementScheduler, now: number): string[] =>
    scheduler.schedule(now).map((decision) => `${decision._tag} ${decision.ticket.id}`);

  it('gives out no more slots than an engine has', () => {
    const scheduler = make('e');
    ['1', '2', '3'].forEach((id) => scheduler.enqueue('g', ticket(id), 0));
    expect(outcomes(scheduler, 0)).toEqual(['grant 1', 'grant 2']);
    scheduler.recordEnd('1', { outcome: 'served' }, 10);
    expect(outcomes(scheduler, 10)).toEqual(['grant 3']);
  });

  it('serves the higher rank first', () => {
    const scheduler = make('e');
    scheduler.enqueue('g', ticket('low', { priority: 2 }), 0);
    scheduler.enqueue('g', ticket('high', { priority: 0 }), 1);
    expect(outcomes(scheduler, 1)[0]).toEqual('grant high');
  });

  it("takes an account's rank before a route's, and the route's among accounts of one rank", () => {
    const scheduler = make('e', 'f');
    scheduler.enqueue('g', ticket('late account', { accountPriority: 2, priority: 0 }), 0);
    scheduler.enqueue('g', ticket('low route', { priority: 2 }), 0);
    scheduler.enqueue('g', ticket('high route', { priority: 0 }), 0);
    expect(outcomes(scheduler, 0)).toEqual([
      'grant high route',
      'grant low route',
      'grant late account',
    ]);
  });

  it('asks for one ticket once, however often it is requested', () => {
    const scheduler = make('e');
    scheduler.enqueue('g', ticket('1'), 0);
    scheduler.enqueue('g', ticket('1'), 0);
    expect(outcomes(scheduler, 0)).toEqual(['grant 1']);
    scheduler.enqueue('g', ticket('1'), 1);
    expect(outcomes(scheduler, 1)).toEqual([]);
  });

  it('frees what a gateway held that is gone', () => {
    const scheduler = make('e');
    ['1', '2'].forEach((id) => scheduler.enqueue('lost', ticket(id), 0));
    scheduler.schedule(0);
    scheduler.drop('lost');
    scheduler.enqueue('g', ticket('3'), 1);
    expect(outcomes(scheduler, 1)).toEqual(['grant 3']);
  });

  it('takes over what gateways state that it did not grant itself', () => {
    const scheduler = make('e');
    const running = ['1', '2'].map((id) => ({
      ticket: ticket(id),
      endpoint: 'e',
      ageMs: 100,
      started: true,
    }));
    scheduler.reconcile('g', running, 0);
    scheduler.enqueue('g', ticket('3'), 0);
    expect(outcomes(scheduler, 0)).toEqual([]);
    scheduler.reconcile('g', [], 2_000);
    expect(outcomes(scheduler, 2_000)).toEqual(['grant 3']);
  });

  it('offers a request to no engine that it is to avoid', () => {
    const scheduler = make('e', 'f');
    scheduler.enqueue('g', ticket('1', { avoid: ['e'] }), 0);
    const [decision] = scheduler.schedule(0);
    expect(decision?._tag === 'grant' && decision.endpoint).toEqual('f');
  });

  it('sends nothing to an engine that could not be reached, until its pause is over', () => {
    const scheduler = make('e');
    scheduler.enqueue('g', ticket('1'), 0);
    scheduler.schedule(0);
    scheduler.recordEnd('1', { outcome: 'unreachable' }, 0);
    scheduler.enqueue('g', ticket('2'), 1);
    expect(outcomes(scheduler, 1)).toEqual(['refuse 2']);
    scheduler.enqueue('g', ticket('3'), 500);
    expect(outcomes(scheduler, 500)).toEqual(['grant 3']);
  });

  it('uses only its share of the slots where others decide for themselves', () => {
    const scheduler = make('e');
    scheduler.setScope({ share: 0.5 });
    ['1', '2'].forEach((id) => scheduler.enqueue('g', ticket(id), 0));
    expect(outcomes(scheduler, 0)).toEqual(['grant 1']);
  });
});
