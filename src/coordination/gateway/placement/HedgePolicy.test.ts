import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import { FirstByteTimes, sizeGroupOf } from './FirstByteTimes.ts';
import { HedgePolicy, estimateHedges, type HedgeAccount } from './HedgePolicy.ts';
import { EndpointLimits } from '../limits/EndpointLimits.ts';
import { PlacementScheduler } from './PlacementScheduler.ts';

const GROUP = { service: 'plain', route: 'read', size: 0 };
const OFFICE: HedgeAccount = { name: 'office', quota: 0 };
const SLOW = { group: GROUP, account: OFFICE, mayRepeat: true };
const ESTIMATE = { ...GROUP, afterMs: 50, isShort: false };

const makePolicy = (requests: number, share = 0.1): HedgePolicy => {
  const policy = new HedgePolicy({ share, windowMs: 10_000 });
  for (let count = 0; count < requests; count += 1) policy.recordRequest('plain', OFFICE, 0);
  policy.setEstimates([ESTIMATE], 0);
  return policy;
};

const countSent = (policy: HedgePolicy, tries: number, now: number): number =>
  Array.from({ length: tries }, () => policy.tryHedge(SLOW, () => true, now)).filter(
    (limit) => limit === undefined,
  ).length;

describe('HedgePolicy', () => {
  // Guards against second copies beyond the operator's share of the requests.
  it('allows the share of the requests and no more', () => {
    expect(countSent(makePolicy(50), 20, 1)).toEqual(5);
  });

  // Guards against gateways with few requests that never reach one whole copy, or that save up many.
  it('saves up for one copy over several windows', () => {
    const policy = makePolicy(0, 0.02);
    for (let at = 0; at < 200_000; at += 2_000) policy.recordRequest('plain', OFFICE, at);
    policy.setEstimates([ESTIMATE], 200_000);
    expect(countSent(policy, 5, 200_000)).toEqual(1);
  });

  it('takes nothing from the share if the retry budget is used up', () => {
    const policy = makePolicy(10);
    expect(policy.tryHedge(SLOW, () => false, 1)).toEqual('retryBudget');
    expect(policy.tryHedge(SLOW, () => true, 1)).toEqual(undefined);
    expect(policy.tryHedge(SLOW, () => true, 1)).toEqual('share');
  });

  it('names the limit of attempts, and the capacity of the service', () => {
    const policy = makePolicy(50);
    expect(policy.findLimit({ ...SLOW, mayRepeat: false }, 1)).toEqual('attempts');
    policy.setEstimates([{ ...ESTIMATE, isShort: true }], 2);
    expect(policy.findLimit(SLOW, 2)).toEqual('capacity');
  });

  // Guards against copies by estimates of a scheduler that is gone or silent.
  it('uses no estimates that the scheduler has not renewed', () => {
    const policy = makePolicy(50);
    expect([policy.slowAfterMs(GROUP, 9_000), policy.slowAfterMs(GROUP, 9_001)]).toEqual([
      50,
      undefined,
    ]);
    expect(policy.findLimit(SLOW, 9_001)).toEqual('estimate');
  });

  // Guards against an account that sends many times its usual rate and takes the free slots of the others twice.
  it('sends none for an account that is above its share', () => {
    const policy = makePolicy(70);
    ['a', 'b', 'c'].forEach((name) => {
      for (let count = 0; count < 10; count += 1)
        policy.recordRequest('plain', { name, quota: 0 }, 1);
    });
    expect(policy.findLimit(SLOW, 1)).toEqual('account');
    expect(policy.findLimit({ ...SLOW, account: { name: 'a', quota: 0 } }, 1)).toEqual(undefined);
  });
});

describe('FirstByteTimes', () => {
  it('estimates the quantile of each group over the reports of all processes', () => {
    const merged = new FirstByteTimes(15_000);
    [0, 1, 2].forEach((process) => {
      const own = new FirstByteTimes(Number.POSITIVE_INFINITY);
      for (let ms = 1; ms <= 100; ms += 1) own.record(GROUP, ms, process);
      own.record({ ...GROUP, size: sizeGroupOf(5_000) }, 900, process);
      merged.merge(own.take(), 10);
    });
    const [estimate, ...others] = estimateHedges(merged, 0.05, () => 0.5, 10);
    expect(others).toEqual([]);
    expect(estimate?.afterMs ?? 0).toBeGreaterThan(92);
    expect(estimate?.afterMs ?? 0).toBeLessThan(105);
    expect(estimateHedges(merged, 0.05, () => 0.8, 10)[0]?.isShort).toEqual(true);
  });

  // Guards against a threshold of an earlier load, by which most requests would count as slow.
  it('follows a load that rises', () => {
    const times = new FirstByteTimes(15_000);
    for (let at = 0; at < 30_000; at += 20) times.record(GROUP, 20, at);
    for (let at = 30_000; at < 60_000; at += 20) times.record(GROUP, 60, at);
    expect(times.quantile(GROUP, 0.5, 50, 60_000) ?? 0).toBeGreaterThan(55);
    expect(times.meanInProgress('plain', 60_000)).toBeGreaterThan(2);
  });
});

const engine = (id: string, failureDomain: string, coldMs = 0): EndpointRecord => ({
  id,
  service: 'model',
  address: '10.0.0.1:80',
  failureDomain,
  version: 'v1',
  slots: 4,
  state: 'ready',
  coldMs,
  bornAt: 0,
});

const ticket = (id: string, more: Partial<PlacementTicket> = {}): PlacementTicket => ({
  id,
  service: 'model',
  route: 'stream',
  accountPriority: 1,
  priority: 1,
  promptTokens: 100,
  outputTokens: 10,
  quotaUnits: 0,
  targetMs: 5_000,
  gapMs: 500,
  tokensPerEvent: 5,
  remainingMs: 5_000,
  avoid: [],
  ...more,
});

const hedge = (avoid: readonly string[]): PlacementTicket =>
  ticket('h', { avoid, immediate: true, hedge: { failureDomain: 'a' } });

describe('PlacementScheduler with second copies', () => {
  const make = (records: readonly EndpointRecord[], limits = new EndpointLimits()) => {
    const scheduler = new PlacementScheduler(limits);
    scheduler.setEngines(records);
    return scheduler;
  };
  const outcomes = (scheduler: PlacementScheduler) =>
    scheduler
      .schedule(10)
      .map((one) => `${one.ticket.id} ${one._tag === 'grant' ? one.endpoint : one.reason}`);

  it('prefers an engine in another failure domain', () => {
    const scheduler = make([engine('e', 'a'), engine('f', 'a'), engine('g', 'b')]);
    scheduler.enqueue('owner', hedge(['e']), 0);
    expect(outcomes(scheduler)).toEqual(['h g']);
  });

  // Guards against a second copy that takes a slot from a request that has none, or fills the service up.
  it('refuses one above three quarters of the slots, and serves the first copies before it', () => {
    const scheduler = make([engine('e', 'a'), engine('f', 'b')]);
    scheduler.enqueue('owner', hedge([]), 0);
    ['1', '2', '3', '4', '5', '6'].forEach((id) => scheduler.enqueue('owner', ticket(id), 5));
    expect(outcomes(scheduler).at(-1)).toEqual('h overload');
    expect(scheduler.occupancyOf('model')).toEqual(0.75);
  });

  it('grants none at engines that are cold or state a limit', () => {
    const limits = new EndpointLimits();
    limits.observe({ endpoint: 'g/0', requestsPerSecond: 50, sentAt: 0, answeredAt: 1 }, 1);
    const scheduler = make([engine('e', 'a'), engine('f', 'b', 900), engine('g', 'b')], limits);
    scheduler.enqueue('owner', hedge(['e']), 0);
    expect(outcomes(scheduler)).toEqual(['h overload']);
  });
});
