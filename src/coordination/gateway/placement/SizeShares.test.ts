import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import { RouteMeanSizes } from './RouteMeanSizes.ts';
import { SizeShares } from './SizeShares.ts';

const ticket = (promptTokens: number): PlacementTicket => ({
  id: `${promptTokens}`,
  service: 'model',
  route: 'quote',
  accountPriority: 1,
  priority: 1,
  promptTokens,
  outputTokens: 1,
  quotaUnits: 0,
  targetMs: 500,
  gapMs: 500,
  tokensPerEvent: 5,
  remainingMs: 15_000,
  avoid: [],
});

describe('SizeShares', () => {
  const SIZES = [
    ...Array.from({ length: 14 }, () => 500),
    1_400,
    1_400,
    1_400,
    1_400,
    3_000,
    3_000,
  ];

  /** Counts requests of all sizes, and grants of those that `isGranted` selects. */
  const makeShares = (isGranted: (size: number, round: number) => boolean): SizeShares => {
    const routeSizes = new RouteMeanSizes();
    const shares = new SizeShares(routeSizes);
    for (let round = 0; round < 10; round += 1) {
      SIZES.forEach((size) => {
        routeSizes.record(ticket(size));
        shares.recordRequest(ticket(size), 0);
        if (isGranted(size, round)) shares.recordGrant(ticket(size), 0);
      });
    }
    return shares;
  };

  // Guards against large requests that starve because the small ones of their route go first.
  it('finds the large requests that are served less often than their route', () => {
    const shares = makeShares((size, round) => size < 1_000 || round < 3);
    expect([500, 1_400, 3_000].map((size) => shares.isBehind(ticket(size), 0))).toEqual([
      false,
      true,
      true,
    ]);
  });

  it('prefers no size that is served about as often as its route', () => {
    const shares = makeShares((size, round) => size < 1_000 || round < 8);
    expect([500, 1_400, 3_000].map((size) => shares.isBehind(ticket(size), 0))).toEqual([
      false,
      false,
      false,
    ]);
  });
});
