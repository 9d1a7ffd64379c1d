import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { EndpointRecord, Route, RouteTable } from '../../../state/gateway/index.ts';
import { adviseRetryAfter } from './adviseRetryAfter.ts';
import { CallerRetryDetector } from '../routing/CallerRetryDetector.ts';
import { pickService } from '../routing/pickService.ts';
import { EndpointLimits } from '../limits/EndpointLimits.ts';
import { PlacementScheduler } from './PlacementScheduler.ts';
import { PlainServiceBalancer } from './PlainServiceBalancer.ts';
import { RetryBudget } from '../limits/RetryBudget.ts';
import { RouteIndex } from '../routing/RouteIndex.ts';

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
    it(`returns ${expected} for ${target} with the key ${key}`, () => {
      const match = index.match('DESK.example:8080', target, key);
      expect(match._tag === 'matched' ? match.route.name : match._tag).toEqual(expected);
    }),
  );
});

describe('pickService', () => {
  it('splits requests in proportion to the weights', () => {
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
  it('keeps the retries of all processes together within the bound', () => {
    const members = 6;
    const budgets = Array.from(
      { length: members },
      () => new RetryBudget({ ratio: 0.2, slack: 52, windowMs: 10_000 }, undefined),
    );
    const retries = budgets.reduce((sum, budget) => {
      Array.from({ length: 50 }, () => budget.recordRequest('plain', 0));
      const granted = Array.from({ length: 100 }, () => budget.tryRetry('plain', members, 1));
      return sum + granted.filter(Boolean).length;
    }, 0);
    expect(retries).toBeLessThanOrEqual(0.2 * 300 + 52);
    expect(retries).toBeGreaterThan(60);
  });

  it("doesn't count retries from before its window", () => {
    const budget = new RetryBudget({ ratio: 0, slack: 2, windowMs: 1_000 }, undefined);
    expect([0, 1, 1_500].map((at) => budget.tryRetry('plain', 1, at))).toEqual([true, false, true]);
  });
});

describe('CallerRetryDetector', () => {
  it('estimates the time since the first attempt of a caller that retries', () => {
    const detector = new CallerRetryDetector();
    const waited = [3_000, 2_960, 2_000, 3_000].map((ms) => detector.estimateWaitedMs('r', ms));
    expect(waited.map((ms) => Math.round(ms / 100))).toEqual([0, 0, 10, 0]);
  });

  it('treats requests with slightly shorter deadlines as first attempts', () => {
    const detector = new CallerRetryDetector();
    const deadlines = Array.from({ length: 40 }, (_, index) => 15_000 - index * 55);
    expect(
      deadlines.map((ms) => detector.estimateWaitedMs('r', ms)).filter((ms) => ms > 0),
    ).toEqual([]);
  });

  it('adapts to callers that change to shorter deadlines', () => {
    const detector = new CallerRetryDetector();
    detector.estimateWaitedMs('r', 15_000);
    const later = Array.from({ length: 400 }, () => detector.estimateWaitedMs('r', 6_000));
    expect(later.at(-1)).toEqual(0);
  });
});

describe('adviseRetryAfter', () => {
  it('advises a longer time for a lower grant ratio', () => {
    const times = [1, 0.5, 0].map((ratio) => adviseRetryAfter('id', 100, ratio));
    expect(times).toEqual([...times].sort((a, b) => a - b));
    expect(times[0] ?? 0).toBeLessThan(500);
  });
});

describe('PlainServiceBalancer', () => {
  const records = [endpoint('1'), endpoint('2')];

  it('picks the less loaded endpoint', () => {
    const balancer = new PlainServiceBalancer();
    balancer.recordStart(records[0] as EndpointRecord);
    expect(balancer.pick(records, [], 0, 0)?.id).toEqual('2');
  });

  it('avoids an unreachable endpoint until its backoff is over', () => {
    const balancer = new PlainServiceBalancer();
    balancer.recordEnd(records[0] as EndpointRecord, 'unreachable', 0, 0);
    expect(balancer.pick([records[0] as EndpointRecord], [], 0, 100)).toEqual(undefined);
    expect(balancer.pick([records[0] as EndpointRecord], [], 0, 5_000)?.id).toEqual('1');
  });

  it('prefers an endpoint that fails less often, and uses a failing one if it is the only one', () => {
    const balancer = new PlainServiceBalancer();
    const [failing, healthy] = records as [EndpointRecord, EndpointRecord];
    Array.from({ length: 10 }, () => balancer.recordEnd(failing, 'failed', 10, 0));
    expect(balancer.pick(records, [], 0, 0)?.id).toEqual(healthy.id);
    expect(balancer.pick([failing], [], 0, 0)?.id).toEqual(failing.id);
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

  it('grants no more slots than an engine has', () => {
    const scheduler = make('e');
    ['1', '2', '3'].forEach((id) => scheduler.enqueue('g', ticket(id), 0));
    expect(outcomes(scheduler, 0)).toEqual(['grant 1', 'grant 2']);
    scheduler.recordEnd('1', { outcome: 'served' }, 10);
    expect(outcomes(scheduler, 10)).toEqual(['grant 3']);
  });

  it('places requests of a higher priority first', () => {
    const scheduler = make('e');
    scheduler.enqueue('g', ticket('low', { priority: 2 }), 0);
    scheduler.enqueue('g', ticket('high', { priority: 0 }), 1);
    expect(outcomes(scheduler, 1)[0]).toEqual('grant high');
  });

  it("orders by the client account's priority, then by the route's", () => {
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

  it('grants a ticket only once, even when it is enqueued repeatedly', () => {
    const scheduler = make('e');
    scheduler.enqueue('g', ticket('1'), 0);
    scheduler.enqueue('g', ticket('1'), 0);
    expect(outcomes(scheduler, 0)).toEqual(['grant 1']);
    scheduler.enqueue('g', ticket('1'), 1);
    expect(outcomes(scheduler, 1)).toEqual([]);
  });

  it('releases the slots of a gateway that is gone', () => {
    const scheduler = make('e');
    ['1', '2'].forEach((id) => scheduler.enqueue('lost', ticket(id), 0));
    scheduler.schedule(0);
    scheduler.removeOwner('lost');
    scheduler.enqueue('g', ticket('3'), 1);
    expect(outcomes(scheduler, 1)).toEqual(['grant 3']);
  });

  it('counts running requests that a gateway reports but this scheduler did not grant', () => {
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

  it('places no request at an engine that the ticket avoids', () => {
    const scheduler = make('e', 'f');
    scheduler.enqueue('g', ticket('1', { avoid: ['e'] }), 0);
    const [decision] = scheduler.schedule(0);
    expect(decision?._tag === 'grant' && decision.endpoint).toEqual('f');
  });

  it('places nothing at an unreachable engine until its backoff is over', () => {
    const scheduler = make('e');
    scheduler.enqueue('g', ticket('1'), 0);
    scheduler.schedule(0);
    scheduler.recordEnd('1', { outcome: 'unreachable' }, 0);
    scheduler.enqueue('g', ticket('2'), 1);
    expect(outcomes(scheduler, 1)).toEqual(['refuse 2']);
    scheduler.enqueue('g', ticket('3'), 500);
    expect(outcomes(scheduler, 500)).toEqual(['grant 3']);
  });

  it('uses only its share of the slots while other processes grant slots too', () => {
    const scheduler = make('e');
    scheduler.setSlotAllocation({ share: 0.5 });
    ['1', '2'].forEach((id) => scheduler.enqueue('g', ticket(id), 0));
    expect(outcomes(scheduler, 0)).toEqual(['grant 1']);
  });
});

describe('PlacementScheduler before endpoints that want nothing of one gateway', () => {
  const resting = (id: string, forMs?: number) =>
    ticket(id, { excluded: [{ endpoint: 'e', ...(forMs !== undefined && { forMs }) }] });
  const make = (...ids: string[]): PlacementScheduler => {
    const scheduler = new PlacementScheduler();
    scheduler.setEngines(ids.map(endpoint));
    return scheduler;
  };

  // Guards against grants of an engine that has asked the ticket's gateway for rest (BUDGET).
  it('grants that gateway another one, and the endpoint to others', () => {
    const scheduler = make('e', 'f');
    scheduler.enqueue('told', resting('1', 3_000), 0);
    const [first] = scheduler.schedule(0);
    expect(first?._tag === 'grant' && first.endpoint).toEqual('f');
    const alone = make('e');
    alone.enqueue('told', resting('1', 3_000), 0);
    alone.enqueue('other', ticket('2'), 0);
    expect(alone.schedule(0).map((one) => `${one._tag} ${one.ticket.id}`)).toInclude('grant 2');
  });

  it('queues a request for the end of the rest, if its deadline allows it', () => {
    const scheduler = make('e');
    scheduler.enqueue('told', resting('1', 200), 0);
    expect(scheduler.schedule(0)).toEqual([]);
    expect(scheduler.schedule(200).map(({ _tag }) => _tag)).toEqual(['grant']);
  });

  it('refuses a request that the rest outlasts, with a time that is worth waiting for', () => {
    const scheduler = make('e');
    scheduler.enqueue('told', resting('1', 60_000), 0);
    const [decision] = scheduler.schedule(0);
    expect(decision?._tag === 'refuse' && decision.reason).toEqual('overload');
    expect(decision?._tag === 'refuse' && decision.retryAfterMs > 30_000).toEqual(true);
  });

  it('refuses a request whose only endpoint leaves', () => {
    const scheduler = make('e');
    scheduler.enqueue('told', resting('1'), 0);
    const [decision] = scheduler.schedule(0);
    expect(decision?._tag === 'refuse' && decision.reason).toEqual('noEndpoint');
  });
});

describe('PlacementScheduler before endpoints that state limits', () => {
  const makeLimited = (perSecond: number) => {
    const limits = new EndpointLimits();
    limits.observe(
      { endpoint: 'i-1/1', requestsPerSecond: perSecond, sentAt: 0, answeredAt: 1 },
      1,
    );
    const scheduler = new PlacementScheduler(limits);
    scheduler.setEngines([endpoint('i-1')]);
    return scheduler;
  };

  it('queues what a limit leaves over, and grants it in the order of priority', () => {
    const scheduler = makeLimited(1);
    scheduler.enqueue('own', ticket('low', { priority: 2 }), 10);
    scheduler.enqueue('own', ticket('high', { priority: 0 }), 20);
    expect(scheduler.schedule(30)).toEqual([]);
    const [first, ...others] = scheduler.schedule(1_100);
    expect([first?._tag, first?.ticket.id]).toEqual(['grant', 'high']);
    expect(others).toEqual([]);
  });

  it('refuses what would wait beyond its deadline, with the time until it may be sent', () => {
    const scheduler = makeLimited(0.5);
    scheduler.enqueue('own', ticket('brief', { remainingMs: 900 }), 10);
    const [decision] = scheduler.schedule(20);
    expect(decision?._tag).toEqual('refuse');
    expect(decision?._tag === 'refuse' && decision.expectedWaitMs > 1_500).toEqual(true);
  });

  it('refuses at once a ticket that another endpoint can take', () => {
    const scheduler = makeLimited(1);
    scheduler.enqueue('own', ticket('immediate', { immediate: true }), 10);
    expect(scheduler.schedule(20).map(({ _tag }) => _tag)).toEqual(['refuse']);
  });

  it('passes a limited engine over for another one', () => {
    const scheduler = makeLimited(1);
    scheduler.setEngines([endpoint('i-1'), endpoint('i-2')]);
    scheduler.enqueue('own', ticket('any'), 10);
    const [decision] = scheduler.schedule(20);
    expect(decision?._tag === 'grant' && decision.endpoint).toEqual('i-2');
  });
});
