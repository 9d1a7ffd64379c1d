import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import { EndpointLimits } from '../limits/EndpointLimits.ts';
import { ColdSlowdown } from './ColdSlowdown.ts';
import { PlacementScheduler } from './PlacementScheduler.ts';

const engine = (id: string): EndpointRecord => ({
  id,
  service: 'model',
  address: '10.0.0.1:80',
  failureDomain: 'a',
  version: 'v1',
  slots: 4,
  state: 'ready',
  coldMs: id === 'cold' ? 3_000 : 0,
  bornAt: 0,
});

describe('ColdSlowdown', () => {
  it('follows how much slower cold engines are', () => {
    const slowdown = new ColdSlowdown();
    for (let count = 0; count < 60; count += 1) slowdown.recordFirstToken(500, 100);
    expect(Math.round(slowdown.factor)).toEqual(5);
  });

  // Guards against requests that are placed at a cold engine as if it were warm, and are late.
  it('makes the scheduler prefer a warm engine that has more to do', () => {
    const limits = new EndpointLimits();
    const coldStart = { durationMs: 3_000, requestsPerSecond: 11 };
    const service = { name: 'model', healthPath: '/', maximumConnections: 9, coldStart };
    limits.coldCaps.setServices([service], { coldOvershoot: 1.5, coldSlack: 5 }, -5_000);
    const scheduler = new PlacementScheduler(limits);
    const engines = ['cold', 'warm'].map(engine);
    engines.forEach((record) => limits.coldCaps.observe(record, { revision: 1, isNew: false }, 0));
    scheduler.setEngines(engines);
    const enqueue = (id: string, now: number) =>
      scheduler.enqueue(
        'g',
        {
          id,
          service: 'model',
          route: 'stream',
          accountPriority: 0,
          priority: 0,
          promptTokens: 1_000,
          outputTokens: 20,
          quotaUnits: 0,
          targetMs: 2_000,
          gapMs: 2_000,
          tokensPerEvent: 5,
          remainingMs: 9_000,
          avoid: [],
        },
        now,
      );
    const endpointsOf = (now: number) =>
      scheduler.schedule(now).map((decision) => decision._tag === 'grant' && decision.endpoint);
    // Buckets refill from their first use on.
    engines.forEach(({ id }) => limits.msUntilAllowed(`${id}/0`, 0));
    enqueue('a', 500);
    enqueue('b', 500);
    expect(endpointsOf(500)).toEqual(['warm', 'warm']);
  });
});
