import { describe, it } from 'node:test';
import { expect } from 'earl';
import { PlacementScheduler } from '../../../coordination/gateway/index.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import { HedgeMonitor } from './HedgeMonitor.ts';

const GROUP = { service: 'plain', route: 'read', size: 0 };

const makeMonitor = (incarnation: string): HedgeMonitor =>
  new HedgeMonitor({
    share: 0.1,
    windowMs: 10_000,
    group: () => ({ incarnation, leader: () => 'leader' }),
    listReady: () => [{ slots: 4 } as EndpointRecord],
    now: () => 1_000,
  });

describe('HedgeMonitor', () => {
  it('estimates from the times of all gateways, and tells all', () => {
    const leader = makeMonitor('leader');
    const followers = ['f', 'g'].map(makeMonitor);
    followers.forEach((follower, index) => {
      for (let count = 0; count < 20; count += 1) follower.record(GROUP, 10 + index);
      const report = follower.takeReport();
      leader.handle('f', { _tag: 'placementState', running: [], waiting: [], ...report });
      expect(follower.hasReport).toEqual(false);
    });
    const hedging = leader.updateEstimates(new PlacementScheduler());
    followers.forEach((follower) => {
      follower.handle('leader', { _tag: 'schedulerNotes', engines: [], hedging });
      expect(follower.policy.slowAfterMs(GROUP, 1_000) ?? 0).toBeGreaterThan(18);
    });
  });

  // Guards against copies by outdated estimates if a scheduler of an older build takes over.
  it('has no estimates if the scheduler sends none, and takes them from no other gateway', () => {
    const follower = makeMonitor('f');
    const hedging = [{ ...GROUP, afterMs: 40, isShort: false }];
    follower.handle('other', { _tag: 'schedulerNotes', engines: [], hedging });
    expect(follower.policy.slowAfterMs(GROUP, 1_000)).toEqual(undefined);
    follower.handle('leader', { _tag: 'schedulerNotes', engines: [], hedging });
    expect(follower.policy.slowAfterMs(GROUP, 1_000)).toEqual(40);
    follower.handle('leader', { _tag: 'schedulerNotes', engines: [] });
    expect(follower.policy.slowAfterMs(GROUP, 1_000)).toEqual(undefined);
  });
});
