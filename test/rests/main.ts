// Plays endpoints that ask for rest, or say that they leave: `npm run rests -- --seed N [--seeds COUNT]`.
import { parseArgs } from 'node:util';
import type { FleetDisturbance } from '../support/FleetDisturbance.ts';
import { runPlays } from '../support/runPlays.ts';
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

const endpoints = Number(values.endpoints);
const SHAPES: readonly RestShape[] = [
  { _tag: 'resting', endpoints: 1, restSeconds: 3 },
  { _tag: 'leaving' },
  { _tag: 'resting', endpoints, restSeconds: 2.5 },
  { _tag: 'resting', endpoints: endpoints - 1, restSeconds: 1.2 },
];
const series = {
  name: 'rests',
  seed: Number(values.seed),
  seeds: Number(values.seeds),
  gateways: Number(values.gateways),
};
await runPlays(series, async (owner, common) => {
  const disturbance = DISTURBANCES[common.seed % DISTURBANCES.length] ?? { _tag: 'none' };
  const shape = SHAPES[common.seed % SHAPES.length] ?? { _tag: 'leaving' };
  const play = {
    ...common,
    endpoints,
    shape,
    disturbance,
    rate: Number(values.rate),
    askingMs: Number(values.seconds) * MS_PER_SECOND,
  };
  const result = await playRests(owner, play);
  const variant = `${disturbance._tag}, ${JSON.stringify(shape)}`;
  return { kept: keepsRests(play, result), variant, result };
});
