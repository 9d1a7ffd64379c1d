// Plays endpoints that limit their requests, or fall over when they have to reject too many:
// `npm run limits -- [--kind brittle] --seed N [--seeds COUNT] [--gateways K]`.
import { parseArgs } from 'node:util';
import type { FleetDisturbance } from '../support/FleetDisturbance.ts';
import type { Owner } from '../support/Owner.ts';
import { runPlays, type PlayVerdict } from '../support/runPlays.ts';
import type { FleetPlay } from '../support/startPlay.ts';
import { playBrittle } from './playBrittle.ts';
import { playLimits, type LimitShape } from './playLimits.ts';

const { values } = parseArgs({
  options: {
    kind: { type: 'string', default: 'rates' },
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '1' },
    gateways: { type: 'string', default: '3' },
    endpoints: { type: 'string', default: '3' },
    rate: { type: 'string', default: '30' },
    seconds: { type: 'string', default: '16' },
  },
});
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

/** Rejections a second that brittle endpoints bear, by the seed. */
const BEARS = [2, 4, 8];
/** Requests a second, as a multiple of the rate given, that brittle endpoints can't all serve. */
const OVERLOAD_FACTOR = 4;
const LEAST_USED_SHARE = 0.5;

interface CommonPlay extends FleetPlay {
  readonly endpoints: number;
  readonly disturbance: FleetDisturbance;
}

const playRates = async (owner: Owner, common: CommonPlay): Promise<PlayVerdict> => {
  const shape = SHAPES[common.seed % SHAPES.length] ?? { _tag: 'fixed', perSecond: 3 };
  const limited = common.seed % 3 === 0 ? 1 : common.endpoints;
  const result = await playLimits(owner, {
    ...common,
    limited,
    shape,
    rate: Number(values.rate),
    limitMs: Number(values.seconds) * MS_PER_SECOND,
  });
  const kept = Object.values(result).every(
    ({ worstExcess, refusalsWithRetryAfter }) => worstExcess <= 0 && refusalsWithRetryAfter === 1,
  );
  const variant = `${JSON.stringify(shape)}, ${limited} of ${common.endpoints} limited`;
  return { kept, variant, result };
};

const playBrittleEndpoints = async (owner: Owner, common: CommonPlay): Promise<PlayVerdict> => {
  const bears = BEARS[common.seed % BEARS.length] ?? 2;
  const result = await playBrittle(owner, {
    ...common,
    bears,
    rate: OVERLOAD_FACTOR * Number(values.rate),
    brittleMs: Number(values.seconds) * MS_PER_SECOND,
  });
  // The users' rule LIMIT.
  const kept = result.falls <= 2 + common.endpoints / 10 && result.usedShare >= LEAST_USED_SHARE;
  return { kept, variant: `bear ${bears} rejections a second`, result };
};

const series = {
  name: `limits-${values.kind}`,
  seed: Number(values.seed),
  seeds: Number(values.seeds),
  gateways: Number(values.gateways),
};
await runPlays(series, async (owner, common) => {
  const disturbance = DISTURBANCES[common.seed % DISTURBANCES.length] ?? { _tag: 'none' };
  const play = { ...common, endpoints: Number(values.endpoints), disturbance };
  const playOne = values.kind === 'brittle' ? playBrittleEndpoints : playRates;
  const { kept, variant, result } = await playOne(owner, play);
  return { kept, variant: `${disturbance._tag}, ${variant}`, result };
});
