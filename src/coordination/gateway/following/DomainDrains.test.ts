import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { StoreChange } from '../../../protocol/gateway/index.ts';
import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import { PlacementScheduler } from '../placement/PlacementScheduler.ts';
import { DomainDrains } from './DomainDrains.ts';
import { drainTiming } from './drainTiming.ts';
import { EndpointDirectory } from './EndpointDirectory.ts';

const change = (name: string, revision: number, removed = false): StoreChange => ({
  removed,
  object: { name, revision, spec: {}, status: null },
});

const engine = (id: string, failureDomain: string): EndpointRecord => ({
  id,
  service: 'model',
  address: '10.0.0.1:80',
  failureDomain,
  version: 'v1',
  slots: 1,
  state: 'ready',
  coldMs: 0,
  bornAt: 0,
});

const ticket = (id: string): PlacementTicket => ({
  id,
  service: 'model',
  route: 'stream',
  accountPriority: 0,
  priority: 0,
  promptTokens: 10,
  outputTokens: 1,
  quotaUnits: 0,
  targetMs: 5_000,
  gapMs: 500,
  tokensPerEvent: 5,
  remainingMs: 9_000,
  avoid: [],
});

const makeDrained = () => {
  const drains = new DomainDrains(5_000, 0);
  drains.recordRead();
  drains.confirm(0);
  const isUsable = ({ failureDomain }: EndpointRecord) => drains.isUsable(failureDomain, 100);
  return { drains, isUsable };
};

describe('DomainDrains', () => {
  it('tells which drains began and ended, each once', () => {
    const { drains } = makeDrained();
    const tags = (...changes: StoreChange[]) =>
      drains.apply(changes).map(({ _tag, failureDomain }) => `${failureDomain} ${_tag}`);
    expect(tags(change('a', 1), change('a', 2), change('b', 3, true))).toEqual(['a begun']);
    expect(tags(change('a', 4, true), change('a', 5), change('a', 6, true))).toEqual([
      'a ended',
      'a begun',
      'a ended',
    ]);
    expect(drains.isUsable('a', 100)).toEqual(true);
  });

  // Guards against times that are each below the deadline and add up to more.
  it('leaves time for the last member to call the store, and to fail once, before the deadline', () => {
    const { waitMs, relianceMs, staleMs } = drainTiming(5_000);
    const failedCallMs = 50 + 320 + 51 + 20;
    expect([waitMs, relianceMs(1), relianceMs(9)]).toEqual([2_500, 3_200, 3_500]);
    expect(relianceMs(9) + failedCallMs < staleMs && staleMs < 5_000).toEqual(true);
    expect(drainTiming(3_000).relianceMs(9) + failedCallMs <= drainTiming(3_000).staleMs).toEqual(
      true,
    );
  });

  it('keeps endpoints of a drained domain out of those that are ready, not of those that run', () => {
    const { drains, isUsable } = makeDrained();
    const directory = new EndpointDirectory(isUsable);
    directory.put(engine('i-a', 'a'), 0);
    directory.put(engine('i-b', 'b'), 0);
    drains.apply([change('a', 1)]);
    expect(directory.listReady('model').map(({ id }) => id)).toEqual(['i-b']);
    expect([directory.findReady('i-a'), directory.isExpectedToRun('i-a')]).toEqual([
      undefined,
      true,
    ]);
    drains.apply([change('a', 2, true)]);
    expect(directory.listReady('model').length).toEqual(2);
  });

  // Guards against requests that are granted a second time to the slots of those that run, after a drain that ended
  // soon, and against requests that wait for a domain in vain.
  it('has the scheduler place elsewhere, refuse at once where all is drained, and keep what runs', () => {
    const { drains, isUsable } = makeDrained();
    const scheduler = new PlacementScheduler();
    scheduler.isUsable = isUsable;
    scheduler.setEngines([engine('i-a', 'a'), engine('i-b', 'b')]);
    const place = (id: string) => {
      scheduler.enqueue('g', ticket(id), 100);
      const [decision] = scheduler.schedule(100);
      return decision?._tag === 'grant' ? decision.endpoint : decision?.reason;
    };
    expect(place('1')).toEqual('i-a');
    drains.apply([change('a', 1)]);
    expect(place('2')).toEqual('i-b');
    drains.apply([change('b', 2)]);
    expect(place('3')).toEqual('noEndpoint');
    drains.apply([change('a', 3, true), change('b', 4, true)]);
    expect(place('4')).toEqual(undefined);
    scheduler.recordEnd('1', { outcome: 'served' }, 100);
    expect(scheduler.schedule(100).map(({ _tag }) => _tag)).toEqual(['grant']);
  });
});
