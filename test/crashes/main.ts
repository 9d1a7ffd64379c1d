// Plays engines that crash under some prompts: `npm run crashes -- --seed N [--seeds COUNT] [--gateways K]`.
import { mkdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { withOwner } from '../support/withOwner.ts';
import type { CrashDisturbance } from './CrashDisturbance.ts';
import { playCrashes } from './playCrashes.ts';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '1' },
    gateways: { type: 'string', default: '3' },
    engines: { type: 'string', default: '6' },
    rate: { type: 'string', default: '2' },
    seconds: { type: 'string', default: '18' },
  },
});
const FOLDER = 'target/crashes';
const PROGRAM = 'target/gateway.cjs';
const MOST_ARRIVALS = 3;
const LEAST_RELATIVE_SHARE = 0.5;
const MS_PER_SECOND = 1_000;

/** One after the other, by the seed. */
const DISTURBANCES: readonly CrashDisturbance[] = [
  { _tag: 'none' },
  { _tag: 'schedulerKilled', afterCrashes: 3 },
  { _tag: 'schedulerPaused', afterCrashes: 2, forMs: 4_000 },
  { _tag: 'storeAway' },
  { _tag: 'othersKilled', everyMs: 2_000 },
  { _tag: 'schedulerKilled', afterCrashes: 5 },
];
/** Every third play has two fatal parts. */
const FATAL_PARTS = ['bad0bad0', 'bad1bad1'];

for (let turn = 0; turn < Number(values.seeds); turn += 1) {
  const seed = Number(values.seed) + turn;
  const folder = join(FOLDER, `seed-${seed}`);
  mkdirSync(folder, { recursive: true });
  const disturbance = DISTURBANCES[seed % DISTURBANCES.length] ?? { _tag: 'none' };
  const result = await withOwner((owner) =>
    playCrashes(owner, {
      seed,
      gateways: Number(values.gateways),
      engines: Number(values.engines),
      disturbance,
      trafficMs: Number(values.seconds) * MS_PER_SECOND,
      fatalRate: Number(values.rate),
      fatalParts: FATAL_PARTS.slice(0, seed % 3 === 0 ? 2 : 1),
      tornShare: 0.05,
      program: PROGRAM,
      folder,
    }),
  );
  const kept =
    result.falselyComplete === 0 &&
    Math.max(...result.arrivalsAfterBound) <= MOST_ARRIVALS &&
    result.soundShareAfter >= LEAST_RELATIVE_SHARE * result.soundShareBefore;
  console.log(
    `seed ${seed}, ${disturbance._tag}: ${kept ? 'kept' : 'BROKEN'} ${JSON.stringify(result)}`,
  );
  if (kept) rmSync(folder, { recursive: true });
  else process.exitCode = 1;
}
