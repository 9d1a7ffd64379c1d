// Plays endpoints that limit their requests: `npm run limits -- --seed N [--seeds COUNT] [--gateways K]`.
import { mkdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import type { FleetDisturbance } from '../support/FleetDisturbance.ts';
import { withOwner } from '../support/withOwner.ts';
import { playLimits, type LimitShape } from './playLimits.ts';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '1' },
    gateways: { type: 'string', default: '3' },
    endpoints: { type: 'string', default: '3' },
    rate: { type: 'string', default: '30' },
    seconds: { type: 'string', default: '16' },
  },
});
const FOLDER = 'target/limits';
const PROGRAM = 'target/gateway.cjs';
const MS_PER_SECOND = 1_000;

/** One after the other, by the seed. */
const DISTURBANCES: readonly FleetDisturbance[] = [
  { _tag: 'none' },
  { _tag: 'schedulerKilled' },
  { _tag: 'schedulerPaused', forMs: 4_000 },
  { _tag: 'schedulerCutOneWay', forMs: 4_000 },
  { _tag: 'storeAway' },
  { _tag: 'othersKilled', everyMs: 1_000 },
  { _tag: 'release' },
];
const SHAPES: readonly LimitShape[] = [
  { _tag: 'fixed', perSecond: 3 },
  { _tag: 'fixed', perSecond: 0.4 },
  { _tag: 'changing', lowest: 1, highest: 6 },
  { _tag: 'fixed', perSecond: 0 },
  { _tag: 'twoLines', perSecond: 5 },
];

for (let turn = 0; turn < Number(values.seeds); turn += 1) {
  const seed = Number(values.seed) + turn;
  const folder = join(FOLDER, `seed-${seed}`);
  mkdirSync(folder, { recursive: true });
  const disturbance = DISTURBANCES[seed % DISTURBANCES.length] ?? { _tag: 'none' };
  const shape = SHAPES[seed % SHAPES.length] ?? { _tag: 'fixed', perSecond: 3 };
  const endpoints = Number(values.endpoints);
  const limited = seed % 3 === 0 ? 1 : endpoints;
  const result = await withOwner((owner) =>
    playLimits(owner, {
      seed,
      gateways: Number(values.gateways),
      endpoints,
      limited,
      shape,
      disturbance,
      rate: Number(values.rate),
      limitMs: Number(values.seconds) * MS_PER_SECOND,
      program: PROGRAM,
      folder,
    }),
  );
  const kept = Object.values(result).every(
    ({ worstExcess, refusalsWithRetryAfter }) => worstExcess <= 0 && refusalsWithRetryAfter === 1,
  );
  console.log(
    `seed ${seed}, ${disturbance._tag}, ${JSON.stringify(shape)}, ${limited} of ${endpoints} limited: ` +
      `${kept ? 'kept' : 'BROKEN'} ${JSON.stringify(result)}`,
  );
  if (kept) rmSync(folder, { recursive: true });
  else process.exitCode = 1;
}
