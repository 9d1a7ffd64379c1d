// Plays endpoints that limit their requests, or fall over when they have to reject too many:
// `npm run limits -- [--kind brittle] --seed N [--seeds COUNT] [--gateways K]`.
import { mkdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import type { FleetDisturbance } from '../support/FleetDisturbance.ts';
import { withOwner } from '../support/withOwner.ts';
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

/** Rejections a second that brittle endpoints bear, by the seed. */
const BEARS = [2, 4, 8];
/** Requests a second, as a multiple of the rate given, that brittle endpoints can't all serve. */
const OVERLOAD_FACTOR = 4;
const LEAST_USED_SHARE = 0.5;

interface CommonPlay {
  readonly seed: number;
  readonly gateways: number;
  readonly endpoints: number;
  readonly disturbance: FleetDisturbance;
  readonly program: string;
  readonly folder: string;
}

/** Whether a play kept its bounds, how it differed, and what came of it. */
interface Verdict {
  readonly kept: boolean;
  readonly variant: string;
  readonly result: object;
}

const playRates = async (common: CommonPlay): Promise<Verdict> => {
  const shape = SHAPES[common.seed % SHAPES.length] ?? { _tag: 'fixed', perSecond: 3 };
  const limited = common.seed % 3 === 0 ? 1 : common.endpoints;
  const result = await withOwner((owner) =>
    playLimits(owner, {
      ...common,
      limited,
      shape,
      rate: Number(values.rate),
      limitMs: Number(values.seconds) * MS_PER_SECOND,
    }),
  );
  const kept = Object.values(result).every(
    ({ worstExcess, refusalsWithRetryAfter }) => worstExcess <= 0 && refusalsWithRetryAfter === 1,
  );
  const variant = `${JSON.stringify(shape)}, ${limited} of ${common.endpoints} limited`;
  return { kept, variant, result };
};

const playBrittleEndpoints = async (common: CommonPlay): Promise<Verdict> => {
  const bears = BEARS[common.seed % BEARS.length] ?? 2;
  const result = await withOwner((owner) =>
    playBrittle(owner, {
      ...common,
      bears,
      rate: OVERLOAD_FACTOR * Number(values.rate),
      brittleMs: Number(values.seconds) * MS_PER_SECOND,
    }),
  );
  // The users' rule LIMIT.
  const kept = result.falls <= 2 + common.endpoints / 10 && result.usedShare >= LEAST_USED_SHARE;
  return { kept, variant: `bear ${bears} rejections a second`, result };
};

for (let turn = 0; turn < Number(values.seeds); turn += 1) {
  const seed = Number(values.seed) + turn;
  const folder = join(FOLDER, `${values.kind}-${seed}`);
  mkdirSync(folder, { recursive: true });
  const disturbance = DISTURBANCES[seed % DISTURBANCES.length] ?? { _tag: 'none' };
  const common = {
    seed,
    gateways: Number(values.gateways),
    endpoints: Number(values.endpoints),
    disturbance,
    program: PROGRAM,
    folder,
  };
  const { kept, variant, result } = await (values.kind === 'brittle'
    ? playBrittleEndpoints(common)
    : playRates(common));
  console.log(
    `seed ${seed}, ${disturbance._tag}, ${variant}: ${kept ? 'kept' : 'BROKEN'} ${JSON.stringify(result)}`,
  );
  if (kept) rmSync(folder, { recursive: true });
  else process.exitCode = 1;
}
