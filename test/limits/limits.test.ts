import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { FleetDisturbance } from '../support/FleetDisturbance.ts';
import { useGatewayProgram } from '../support/useGatewayProgram.ts';
import { playBrittle } from './playBrittle.ts';
import { playLimits } from './playLimits.ts';

const PLAYS: readonly {
  readonly seed: number;
  readonly name: string;
  readonly limited: number;
  readonly disturbance: FleetDisturbance;
}[] = [
  { seed: 1, name: 'one of three', limited: 1, disturbance: { _tag: 'none' } },
  {
    seed: 2,
    name: 'all of them, while the scheduler is killed and starts again',
    limited: 3,
    disturbance: { _tag: 'schedulerKilled' },
  },
];

describe('gateways before endpoints that limit the rate of their requests', () => {
  const paths = useGatewayProgram();

  PLAYS.forEach(({ seed, name, limited, disturbance }) => {
    // Guards against gateways that each send a limited endpoint as much as before (LIMIT).
    it(`together send no more than it takes to ${name}`, async (context) => {
      const result = await playLimits(context, {
        seed,
        gateways: 3,
        endpoints: 3,
        limited,
        shape: { _tag: 'fixed', perSecond: 3 },
        disturbance,
        rate: 30,
        limitMs: 13_000,
        ...paths,
      });
      console.log(JSON.stringify(result));
      Object.values(result).forEach(({ worstExcess, refusalsWithRetryAfter }) => {
        expect(worstExcess <= 0).toEqual(true);
        expect(refusalsWithRetryAfter).toEqual(1);
      });
    });
  });

  // Guards against endpoints that fall over because the group makes them reject too many requests (LIMIT).
  it('let endpoints that bear few rejections stand, and use them', async (context) => {
    const result = await playBrittle(context, {
      seed: 7,
      gateways: 4,
      endpoints: 3,
      bears: 4,
      rate: 120,
      brittleMs: 9_000,
      disturbance: { _tag: 'none' },
      ...paths,
    });
    console.log(JSON.stringify(result));
    expect(result.falls <= 2).toEqual(true);
    expect(result.usedShare >= 0.5).toEqual(true);
  });
});
