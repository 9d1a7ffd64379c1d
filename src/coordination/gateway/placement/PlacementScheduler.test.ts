import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import { PlacementScheduler } from './PlacementScheduler.ts';

const ENGINE: EndpointRecord = {
  id: 'e',
  service: 'model',
  address: '10.0.0.1:80',
  failureDomain: 'a',
  version: 'v1',
  slots: 1,
  state: 'ready',
  coldMs: 0,
  bornAt: 1,
};

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
  remainingMs: 12_000,
  avoid: [],
  ...more,
});

const makeBusy = (): PlacementScheduler => {
  const scheduler = new PlacementScheduler();
  scheduler.setEngines([ENGINE]);
  scheduler.enqueue('g', ticket('running'), 0);
  scheduler.schedule(0);
  return scheduler;
};

describe('PlacementScheduler under contention', () => {
  // Guards against callers that are rejected together, come back together and are rejected again.
  it('spreads the retries of rejected callers over the last half of the time that they can wait', () => {
    const scheduler = makeBusy();
    for (let index = 0; index < 40; index += 1)
      scheduler.enqueue('g', ticket(`${index}`, { targetMs: 0 }), 0);
    const times = scheduler
      .schedule(0)
      .map((decision) => (decision._tag === 'refuse' ? decision.retryAfterMs : 0));
    expect(times.length).toEqual(40);
    expect(Math.min(...times)).toBeGreaterThanOrEqual(2_000);
    expect(Math.max(...times)).toBeLessThanOrEqual(4_000);
    expect(new Set(times).size).toBeGreaterThanOrEqual(20);
  });

  it('places a late caller that retries before other late ones, and after those on time', () => {
    const scheduler = makeBusy();
    scheduler.recordEnd('running', { outcome: 'served' }, 0);
    scheduler.enqueue('g', ticket('late', { targetMs: 0, promptTokens: 10 }), 0);
    scheduler.enqueue('g', ticket('retry', { targetMs: 0, retriedAfterMs: 2_000 }), 0);
    expect(scheduler.schedule(0).map(({ _tag, ticket: { id } }) => `${_tag} ${id}`)).toEqual([
      'grant retry',
      'refuse late',
    ]);
    scheduler.recordEnd('retry', { outcome: 'served' }, 10);
    scheduler.enqueue('g', ticket('retry 2', { targetMs: 0, retriedAfterMs: 2_000 }), 10);
    scheduler.enqueue('g', ticket('on time'), 10);
    expect(scheduler.schedule(10)[0]?.ticket.id).toEqual('on time');
  });

  // Guards against an account that takes the slots of others by sending several times its usual rate.
  it('places accounts within their shares before one above, whatever the priority of its route', () => {
    const scheduler = new PlacementScheduler();
    scheduler.setEngines([{ ...ENGINE, slots: 12 }]);
    for (let index = 0; index < 9; index += 1)
      scheduler.enqueue('g', ticket(`hot ${index}`, { account: 'hot' }), 0);
    ['a', 'b', 'c'].forEach((account) => scheduler.enqueue('g', ticket(account, { account }), 0));
    expect(scheduler.schedule(0).length).toEqual(12);
    scheduler.recordEnd('a', { outcome: 'served' }, 10);
    scheduler.enqueue('g', ticket('hot again', { account: 'hot', priority: 0 }), 10);
    scheduler.enqueue('g', ticket('b again', { account: 'b' }), 10);
    const [first] = scheduler.schedule(10);
    expect([first?._tag, first?.ticket.id, first?.aboveShare]).toEqual(['grant', 'b again', false]);
  });
});
