import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Registry } from 'prom-client';
import type { PlacementDecision } from '../../../coordination/gateway/index.ts';
import { PlacementMetrics } from './PlacementMetrics.ts';

const refusal = (account: string, aboveShare: boolean): PlacementDecision => ({
  _tag: 'refuse',
  owner: 'g',
  ticket: {
    id: account,
    service: 'model',
    route: 'quote',
    account,
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
  },
  reason: 'overload',
  waitedMs: 40,
  expectedWaitMs: 0,
  retryAfterMs: 250,
  aboveShare,
});

describe('PlacementMetrics', () => {
  it('tells rejections of accounts above their shares from others', async () => {
    const registry = new Registry();
    const metrics = new PlacementMetrics(registry);
    metrics.countDecision(refusal('a', false));
    metrics.countDecision(refusal('a', true));
    const text = await registry.metrics();
    expect(text).toInclude('{account="a",priority="1",decision="overload"} 1');
    expect(text).toInclude('{account="a",priority="1",decision="overloadAboveShare"} 1');
    expect(text).toInclude('placement_wait_ms_total{account="a",priority="1"} 80');
  });

  // Guards against a metrics page that grows with the number of accounts.
  it('counts accounts beyond the first 64 together', async () => {
    const registry = new Registry();
    const metrics = new PlacementMetrics(registry);
    Array.from({ length: 80 }, (_, index) => metrics.countDecision(refusal(`a${index}`, false)));
    const text = await registry.metrics();
    const lines = text.split('\n').filter((line) => line.includes('account_placements_total{'));
    expect(lines.length).toEqual(65);
    expect(text).toInclude('{account="other",priority="1",decision="overload"} 16');
  });
});
