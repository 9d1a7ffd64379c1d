import { describe, it } from 'node:test';
import { expect } from 'earl';
import { useGatewayProgram } from '../support/useGatewayProgram.ts';
import type { CrashDisturbance } from './CrashDisturbance.ts';
import { playFatalRequests, type FatalRequest } from './playFatalRequests.ts';

/** Sendings of a fatal request that may reach endpoints after the bound. */
const MOST_ARRIVALS = 3;
/** Once fatal requests are refused, sound ones must be served as often as before, but for chance. */
const LEAST_RELATIVE_SHARE = 0.95;

const PLAYS: readonly {
  readonly seed: number;
  readonly name: string;
  readonly fatal: readonly FatalRequest[];
  readonly disturbance: CrashDisturbance;
}[] = [
  { seed: 1, name: 'one that may be repeated', fatal: ['read'], disturbance: { _tag: 'none' } },
  {
    seed: 2,
    name: 'three at once, while the scheduler is killed and starts again',
    fatal: ['read', 'write', 'resumed'],
    disturbance: { _tag: 'schedulerKilled', afterCrashes: 2 },
  },
];

describe('gateways before endpoints that crash under a request which comes again', () => {
  const paths = useGatewayProgram();

  PLAYS.forEach(({ seed, name, fatal, disturbance }) => {
    // Guards against a request that ends endpoint after endpoint (BUDGET), and against refusals of the sound
    // requests that ran beside it.
    it(`send it no more after three crashes, and serve sound ones: ${name}`, async (context) => {
      const result = await playFatalRequests(context, {
        seed,
        gateways: 3,
        endpoints: 4,
        fatal,
        fatalRate: 2,
        trafficMs: 22_000,
        selfCrashes: 'none',
        disturbance,
        ...paths,
      });
      console.log(JSON.stringify(result));
      expect(Math.max(...result.arrivalsAfterBound) <= MOST_ARRIVALS).toEqual(true);
      expect(result.falselyRefused).toEqual(0);
      Object.entries(result.soundAfter).forEach(([kind, share]) =>
        expect(share >= LEAST_RELATIVE_SHARE * (result.soundBefore[kind] ?? 0)).toEqual(true),
      );
    });
  });
});
