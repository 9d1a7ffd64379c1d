import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import { EndpointLimits } from '../limits/EndpointLimits.ts';
import { PlainEndpointSelector } from './PlainEndpointSelector.ts';
import { PlainServiceBalancer } from './PlainServiceBalancer.ts';

const record = (id: string): EndpointRecord => ({
  id,
  service: 'plain',
  address: '10.0.0.1:80',
  failureDomain: 'a',
  version: 'v1',
  slots: 4,
  state: 'ready',
  coldMs: 0,
  bornAt: 0,
});

const makeSelector = (limitedIds: readonly string[]) => {
  const limits = new EndpointLimits();
  limitedIds.forEach((id) =>
    limits.observe({ endpoint: `${id}/0`, requestsPerSecond: 3, sentAt: 0, answeredAt: 1 }, 1),
  );
  const balancer = new PlainServiceBalancer();
  const selector = new PlainEndpointSelector(balancer, limits);
  const select = (now: number, avoid: readonly string[] = []) =>
    selector.select(
      { service: 'plain', records: [record('i-1'), record('i-2')], avoid, fraction: 0 },
      now,
    );
  return { balancer, limits, selector, select };
};

describe('PlainEndpointSelector', () => {
  it('leaves the scheduler out where no endpoint states a limit', () => {
    expect(makeSelector([]).select(10)._tag).toEqual('direct');
  });

  it('asks the scheduler for the best endpoint if that one states a limit', () => {
    expect(makeSelector(['i-1']).select(10)).toEqual({ _tag: 'scheduled', immediate: true });
  });

  it('queues at the scheduler if all endpoints state a limit', () => {
    expect(makeSelector(['i-1', 'i-2']).select(10)).toEqual({
      _tag: 'scheduled',
      immediate: false,
    });
  });

  it('uses the other endpoints until the scheduler may have a slot again', () => {
    const { selector, select } = makeSelector(['i-1']);
    selector.recordRefusal('plain', 300, 10);
    expect(select(309)).toEqual({ _tag: 'direct', endpoint: record('i-2') });
    expect(select(310)._tag).toEqual('scheduled');
  });

  // Guards against gateways that each send a cold endpoint what it bears in all.
  it('queues at the scheduler if the endpoints of the service are capped', () => {
    const { limits, select } = makeSelector([]);
    const coldStart = { durationMs: 3_000, requestsPerSecond: 11 };
    const service = { name: 'plain', healthPath: '/', maximumConnections: 9, coldStart };
    ['i-1', 'i-2'].forEach((id) =>
      limits.coldCaps.observe(record(id), { revision: 1, isNew: false }, 0),
    );
    expect(select(10)._tag).toEqual('direct');
    limits.coldCaps.setServices([service], { coldOvershoot: 1.5, coldSlack: 5 }, 0);
    expect(select(10)).toEqual({ _tag: 'scheduled', immediate: false });
  });

  it("doesn't ask for an endpoint that the request was sent to before", () => {
    expect(makeSelector(['i-1']).select(10, ['i-1'])).toEqual({
      _tag: 'direct',
      endpoint: record('i-2'),
    });
    expect(makeSelector(['i-1', 'i-2']).select(10, ['i-1', 'i-2'])).toEqual({ _tag: 'none' });
  });
});
