// Plays endpoints that ask for rest, or say that they leave: `npm run rests -- --seed N [--seeds COUNT]`.
import { mkdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import type { FleetDisturbance } from '../support/FleetDisturbance.ts';
import { withOwner } from '../support/withOwner.ts';
import { keepsRests } from './keepsRests.ts';
import { playRests, type RestShape } from './playRests.ts';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '1' },
    gateways: { type: 'string', default: '5' },
    endpoints: { type: 'string', default: '3' },
    rate: { type: 'string', default: '40' },
    seconds: { type: 'string', default: '12' },
  },
});
const FOLDER = 'target/rests';
const PROGRAM = 'target/gateway.cjs';
const MS_PER_SECOND = 1_000;

/** One after the other, by the seed. */
const DISTURBANCES: readonly FleetDisturbance[] = [
  { _tag: 'none' },
  { _tag: 'schedulerKilled' },
  { _tag: 'schedulerPaused', forMs: 3_000 },
  { _tag: 'schedulerCutOneWay', forMs: 3_000 },
  { _tag: 'storeAway' },
  { _tag: 'othersKilled', everyMs: 1_000 },
  { _tag: 'release' },
];

for (let turn = 0; turn < Number(values.seeds); turn += 1) {
  const seed = Number(values.seed) + turn;
  const folder = join(FOLDER, `seed-${seed}`);
  mkdirSync(folder, { recursive: true });
  const disturbance = DISTURBANCES[seed % DISTURBANCES.length] ?? { _tag: 'none' };
  const endpoints = Number(values.endpoints);
  const shapes: readonly RestShape[] = [
    { _tag: 'resting', endpoints: 1, restSeconds: 3 },
    { _tag: 'leaving' },
    { _tag: 'resting', endpoints, restSeconds: 2.5 },
    { _tag: 'resting', endpoints: endpoints - 1, restSeconds: 1.2 },
  ];
  const shape = shapes[seed % shapes.length] ?? { _tag: 'leaving' };
  const play = {
    seed,
    gateways: Number(values.gateways),
    endpoints,
    shape,
    disturbance,
    rate: Number(values.rate),
    askingMs: Number(values.seconds) * MS_PER_SECOND,
    program: PROGRAM,
    folder,
  };
  const result = await withOwner((owner) => playRests(owner, play));
  const kept = keepsRests(play, result);
  console.log(
    `seed ${seed}, ${disturbance._tag}, ${JSON.stringify(shape)}: ` +
      `${kept ? 'kept' : 'BROKEN'} ${JSON.stringify(result)}`,
  );
  if (kept) rmSync(folder, { recursive: true });
  else process.exitCode = 1;
}
