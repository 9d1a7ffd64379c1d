import { execFile } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { expect } from 'earl';
import type { CrashDisturbance } from './CrashDisturbance.ts';
import { playFatalRequests, type FatalRequest } from './playFatalRequests.ts';

const BUILD = fileURLToPath(new URL('../../scripts/buildPlatform.mjs', import.meta.url));
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
  let folder = '';
  let program = '';

  before(async () => {
    folder = await mkdtemp(join(tmpdir(), 'fatal-'));
    program = join(folder, 'gateway.cjs');
    await promisify(execFile)(process.execPath, [BUILD, program]);
  });
  after(() => rm(folder, { recursive: true }));

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
        program,
        folder,
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
