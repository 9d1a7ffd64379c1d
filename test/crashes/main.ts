// Plays endpoints that crash under some prompts, or under some requests:
// `npm run crashes -- [--kind requests] --seed N [--seeds COUNT] [--gateways K]`.
import { mkdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { withOwner } from '../support/withOwner.ts';
import type { CrashDisturbance } from './CrashDisturbance.ts';
import { playCrashes } from './playCrashes.ts';
import { playFatalRequests, type FatalRequest } from './playFatalRequests.ts';

const { values } = parseArgs({
  options: {
    kind: { type: 'string', default: 'parts' },
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
  { _tag: 'schedulerCutOneWay', afterCrashes: 2, forMs: 4_000 },
];
/** Every third play has two fatal parts. */
const FATAL_PARTS = ['bad0bad0', 'bad1bad1'];

const FATAL_REQUESTS: readonly FatalRequest[] = ['read', 'write', 'resumed'];
/** Once fatal requests are refused, sound ones must be served as often as before, but for chance. */
const LEAST_SHARE_BESIDE_REQUESTS = 0.95;

/** What both kinds of play are given. */
interface CommonPlay {
  readonly seed: number;
  readonly gateways: number;
  readonly disturbance: CrashDisturbance;
  readonly trafficMs: number;
  readonly fatalRate: number;
  readonly program: string;
  readonly folder: string;
}

/** Whether a play kept its bounds, and what came of it. */
interface Verdict {
  readonly kept: boolean;
  readonly result: object;
}

const playParts = async (common: CommonPlay): Promise<Verdict> => {
  const result = await withOwner((owner) =>
    playCrashes(owner, {
      ...common,
      engines: Number(values.engines),
      fatalParts: FATAL_PARTS.slice(0, common.seed % 3 === 0 ? 2 : 1),
      tornShare: 0.05,
    }),
  );
  const kept =
    result.falselyComplete === 0 &&
    Math.max(...result.arrivalsAfterBound) <= MOST_ARRIVALS &&
    result.soundShareAfter >= LEAST_RELATIVE_SHARE * result.soundShareBefore;
  return { kept, result };
};

const playRequests = async (common: CommonPlay): Promise<Verdict> => {
  const { seed } = common;
  const isOutage = seed % 5 === 0;
  const single = seed % 2 === 0 ? 'single' : 'none';
  const selfCrashes = isOutage ? 'all' : single;
  const first = seed % FATAL_REQUESTS.length;
  const one = FATAL_REQUESTS.slice(first, isOutage ? first : first + 1);
  const fatal = seed % 4 === 3 && !isOutage ? FATAL_REQUESTS : one;
  const result = await withOwner((owner) =>
    playFatalRequests(owner, {
      ...common,
      endpoints: Number(values.engines),
      fatal,
      selfCrashes,
    }),
  );
  // Endpoints that crash by themselves end sound requests as well.
  const leastShare = selfCrashes === 'single' ? LEAST_RELATIVE_SHARE : LEAST_SHARE_BESIDE_REQUESTS;
  const kept =
    result.falselyRefused === 0 &&
    Math.max(...result.arrivalsAfterBound) <= MOST_ARRIVALS &&
    Object.entries(result.soundAfter).every(
      ([kind, share]) => share >= leastShare * (result.soundBefore[kind] ?? 0),
    );
  return { kept, result: { fatal, selfCrashes, ...result } };
};

for (let turn = 0; turn < Number(values.seeds); turn += 1) {
  const seed = Number(values.seed) + turn;
  const folder = join(FOLDER, `${values.kind}-${seed}`);
  mkdirSync(folder, { recursive: true });
  const disturbance = DISTURBANCES[seed % DISTURBANCES.length] ?? { _tag: 'none' };
  const common: CommonPlay = {
    seed,
    gateways: Number(values.gateways),
    disturbance,
    trafficMs: Number(values.seconds) * MS_PER_SECOND,
    fatalRate: Number(values.rate),
    program: PROGRAM,
    folder,
  };
  const { kept, result } = await (values.kind === 'requests'
    ? playRequests(common)
    : playParts(common));
  console.log(
    `seed ${seed}, ${disturbance._tag}: ${kept ? 'kept' : 'BROKEN'} ${JSON.stringify(result)}`,
  );
  if (kept) rmSync(folder, { recursive: true });
  else process.exitCode = 1;
}
