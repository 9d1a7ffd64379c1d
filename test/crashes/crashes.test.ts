import { describe, it } from 'node:test';
import { expect } from 'earl';
import { useGatewayProgram } from '../support/useGatewayProgram.ts';
import type { CrashDisturbance } from './CrashDisturbance.ts';
import { playCrashes } from './playCrashes.ts';

/** Requests with a fatal part that may reach engines after the bound. */
const MOST_ARRIVALS = 3;
/** Sound requests must begin at least this often, against the time without crashes. */
const LEAST_RELATIVE_SHARE = 0.5;

const PLAYS: readonly {
  readonly seed: number;
  readonly name: string;
  readonly disturbance: CrashDisturbance;
}[] = [
  { seed: 1, name: 'of the same part', disturbance: { _tag: 'none' } },
  {
    seed: 2,
    name: 'while the scheduler is killed and starts again',
    disturbance: { _tag: 'schedulerKilled', afterCrashes: 3 },
  },
];

describe('gateways before engines that crash under a part of the prompt', () => {
  const paths = useGatewayProgram();

  PLAYS.forEach(({ seed, name, disturbance }) => {
    // Guards against requests with one part that end engine after engine (BUDGET), and against
    // refusals of the sound requests that share the rest of their prompts (LOST).
    it(`send no more such requests after five crashes, and serve sound ones: ${name}`, async (context) => {
      const result = await playCrashes(context, {
        seed,
        gateways: 3,
        engines: 6,
        disturbance,
        trafficMs: 18_000,
        fatalRate: 2,
        fatalParts: ['bad0bad0'],
        tornShare: 0.05,
        ...paths,
      });
      console.log(JSON.stringify(result));
      expect(result.falselyComplete).toEqual(0);
      expect(Math.max(...result.arrivalsAfterBound) <= MOST_ARRIVALS).toEqual(true);
      expect(result.soundShareAfter >= LEAST_RELATIVE_SHARE * result.soundShareBefore).toEqual(
        true,
      );
    });
  });
});
