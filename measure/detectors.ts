import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { quantile, spread, type Report, type Row } from './harness/Report.ts';
import { LatencyDetector } from '../src/coordination/moves/detectors/LatencyDetector.ts';

// Seeded synthetic latency: lognormal noise, lengths over a hundredfold, load that changes for both
// versions at once, and each tenth request on the new version. Every detector's limit is set so that
// one good move in a hundred is taken back; then delays are counted in requests on the new version.

const SIGMA = 0.35;
const NEW_SHARE = 0.1;
const NEW_REQUESTS = 300;
const ONSET = 100;
const WARM_UP = 200;
const LOAD_FACTORS = [1, 1.6, 2.6];
const LOAD_CHANGE = 1 / 400;
const LONG_WINDOW = 20;
const SHORT_WINDOW = 8;
const MINIMUM_OLD = 20;
const WINDOW_OLD = 200;
const FALSE_ALARMS = 0.01;
const CALIBRATION_MOVES = 1_000;
const MOVES_PER_GROUP = 100;
const GROUPS = 5;

interface Observation {
  readonly isNew: boolean;
  readonly latencyMs: number;
  readonly work: number;
  readonly band: number;
}

/** Gives, after each observation, how much speaks against the new version. */
interface Detector {
  readonly add: (observation: Observation) => number;
}

interface Fault {
  readonly name: string;
  readonly factor: (band: number) => number;
}

const FAULTS: readonly Fault[] = [
  { name: 'slow by 1.5', factor: () => 1.5 },
  { name: 'slow by 2', factor: () => 2 },
  { name: 'slow by 3', factor: () => 3 },
  { name: 'slow by 3 at the highest load', factor: (band) => (band === 2 ? 3 : 1) },
];

const normal = (random: RandomGenerator): number =>
  Math.sqrt(-2 * Math.log(1 - uniformFloat64(random))) *
  Math.cos(2 * Math.PI * uniformFloat64(random));

const median = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

const keepLast = (values: number[], value: number, count: number): void => {
  values.push(value);
  if (values.length > count) values.shift();
};

/** Median latency of the newest requests against the old version's before the move. */
const makeFixedThreshold = (
  valueOf: (observation: Observation) => number,
  window = LONG_WINDOW,
): Detector => {
  const before: number[] = [];
  const recent: number[] = [];
  let usual: number | undefined;
  return {
    add: (observation) => {
      if (!observation.isNew) {
        if (before.length < WARM_UP) before.push(valueOf(observation));
        return 0;
      }
      usual ??= median(before);
      keepLast(recent, valueOf(observation), window);
      return recent.length < window ? 0 : median(recent) / usual;
    },
  };
};

/** Median latency per unit of work, new against old at the same time and in the same load band. */
const makeMedianRatio = (window: number): Detector => {
  const old = LOAD_FACTORS.map((): number[] => []);
  const recent: number[] = [];
  return {
    add: ({ isNew, latencyMs, work, band }) => {
      const unit = latencyMs / work;
      const peers = old[band] ?? [];
      if (!isNew) {
        keepLast(peers, unit, WINDOW_OLD);
        return 0;
      }
      if (peers.length >= MINIMUM_OLD) keepLast(recent, unit / median(peers), window);
      return recent.length < window ? 0 : median(recent);
    },
  };
};

/** Share of old requests in the same band that newest requests are slower than, as a mean rank. */
const makeRankTest = (window: number): Detector => {
  const old = LOAD_FACTORS.map((): number[] => []);
  const ranks: number[] = [];
  return {
    add: ({ isNew, latencyMs, work, band }) => {
      const unit = latencyMs / work;
      const peers = old[band] ?? [];
      if (!isNew) {
        keepLast(peers, unit, WINDOW_OLD);
        return 0;
      }
      if (peers.length >= MINIMUM_OLD) {
        keepLast(ranks, peers.filter((each) => each < unit).length / peers.length, window);
      }
      return ranks.length < window ? 0 : ranks.reduce((a, b) => a + b, 0) / ranks.length;
    },
  };
};

/** The product's cumulative sum of log latency per unit of work. */
const makeCusum = (): Detector => {
  const detector = new LatencyDetector();
  return {
    add: ({ isNew, latencyMs, work, band }) => {
      const logLatency = Math.log(latencyMs / work);
      if (isNew) detector.addNew(logLatency, band, 'endpoint');
      else detector.addOld(logLatency, band);
      return detector.suspicion();
    },
  };
};

const DETECTORS: readonly { readonly name: string; readonly make: () => Detector }[] = [
  { name: 'fixed, raw latency', make: () => makeFixedThreshold(({ latencyMs }) => latencyMs) },
  {
    name: 'fixed, per unit of work',
    make: () => makeFixedThreshold(({ latencyMs, work }) => latencyMs / work),
  },
  { name: 'median ratio of 20', make: () => makeMedianRatio(LONG_WINDOW) },
  { name: 'median ratio of 8', make: () => makeMedianRatio(SHORT_WINDOW) },
  { name: 'rank test of 20', make: () => makeRankTest(LONG_WINDOW) },
  { name: 'CUSUM', make: makeCusum },
];

const makeMove = (seed: number, fault: Fault | undefined): readonly Observation[] => {
  const random = xoroshiro128plus(seed);
  const observations: Observation[] = [];
  let band = Math.floor(uniformFloat64(random) * LOAD_FACTORS.length);
  for (let news = 0; news < NEW_REQUESTS;) {
    if (uniformFloat64(random) < LOAD_CHANGE) {
      band = Math.floor(uniformFloat64(random) * LOAD_FACTORS.length);
    }
    const isNew = observations.length >= WARM_UP && uniformFloat64(random) < NEW_SHARE;
    const work = 4 * 100 ** uniformFloat64(random);
    const factor = isNew && news >= ONSET && fault !== undefined ? fault.factor(band) : 1;
    const load = LOAD_FACTORS[band] ?? 1;
    const latencyMs = 25 * work * load * factor * Math.exp(SIGMA * normal(random));
    observations.push({ isNew, latencyMs, work, band });
    if (isNew) news += 1;
  }
  return observations;
};

const peak = (detector: Detector, observations: readonly Observation[]): number =>
  observations.reduce((highest, each) => Math.max(highest, detector.add(each)), 0);

/** Requests on the new version from the onset to the signal; undefined where there is none after it. */
const delayOf = (
  detector: Detector,
  observations: readonly Observation[],
  limit: number,
): number | undefined => {
  let news = 0;
  const at = observations.findIndex((each) => {
    if (each.isNew) news += 1;
    return detector.add(each) > limit;
  });
  return at < 0 || news <= ONSET ? undefined : news - ONSET;
};

const seeds = (from: number, count: number): readonly number[] =>
  Array.from({ length: count }, (_, index) => from + index);

interface Subject {
  readonly name: string;
  readonly make: () => Detector;
  readonly limit: number;
}

interface Delays {
  readonly row: Row;
  readonly median: number;
}

const measureFault = ({ name, make, limit }: Subject, fault: Fault): Delays => {
  const groups = seeds(0, GROUPS).map((group) =>
    seeds(1_000_000 + group * MOVES_PER_GROUP, MOVES_PER_GROUP).map((seed) =>
      delayOf(make(), makeMove(seed, fault), limit),
    ),
  );
  const found = groups.map((delays) =>
    delays.flatMap((delay) => (delay === undefined ? [] : [delay])),
  );
  const medians = found.map((delays) => median(delays));
  const missed = found.map((delays) => 100 * (1 - delays.length / MOVES_PER_GROUP));
  return {
    row: {
      fault: fault.name,
      detector: name,
      'median delay': spread(medians, 0),
      '95 % delay': spread(
        found.map((delays) => quantile(delays, 0.95)),
        0,
      ),
      'early or missed %': spread(missed, 1),
    },
    median: median(medians),
  };
};

/** Run length of a one-sided CUSUM on ln X until its first signal, at most `limit`. */
const runLength = (
  random: RandomGenerator,
  [mu, sigma]: readonly [number, number],
  [k, h]: readonly [number, number],
  limit: number,
) => {
  let sum = 0;
  for (let count = 1; count <= limit; count += 1) {
    sum = Math.max(0, sum + mu + sigma * normal(random) - k);
    if (sum > h) return count;
  }
  return limit;
};

const checkFormulas = (): readonly string[] => {
  const random = xoroshiro128plus(7);
  const lengths = seeds(0, 2_000).map(() => runLength(random, [0, 1], [0.5, 4], 100_000));
  const mean = lengths.reduce((a, b) => a + b, 0) / lengths.length;
  const printed = runLength(random, [1, 0.6], [11, 5], 1_000_000);
  return [
    `k = 0.5, h = 4, standard normal ln X: simulated average run length ${mean.toFixed(0)} over 2000 runs (textbooks: 336)`,
    `k = 11, h = 5, mu = 1, sigma = 0.6: ${printed === 1_000_000 ? 'no signal in 1000000 samples' : `signal after ${printed}`} (printed in the paper: 632.6)`,
  ];
};

const calibrate = (): readonly Subject[] => {
  const good = seeds(0, CALIBRATION_MOVES).map((seed) => makeMove(seed, undefined));
  const fresh = seeds(500_000, CALIBRATION_MOVES).map((seed) => makeMove(seed, undefined));
  const alarmsOf = (make: () => Detector, limit: number): string =>
    ((100 * fresh.filter((move) => peak(make(), move) > limit).length) / fresh.length).toFixed(1);
  const calibrated = DETECTORS.map(({ name, make }) => {
    const peaks = good.map((move) => peak(make(), move));
    return { name, make, limit: quantile(peaks, 1 - FALSE_ALARMS) };
  });
  const subjects = [...calibrated, { name: 'CUSUM as it runs', make: makeCusum, limit: 1 }];
  subjects.forEach(({ name, make, limit }) =>
    console.log(
      `${name}: limit ${limit.toFixed(3)}, false alarms on fresh good moves ${alarmsOf(make, limit)} %`,
    ),
  );
  return subjects;
};

/**
 * Compares detectors of slow versions at one rate of false alarms a move.
 *
 * @returns delays in requests on the new version, as median with lowest and highest of the groups
 */
export const run = async (): Promise<Report> => {
  checkFormulas().forEach((line) => console.log(line));
  const subjects = calibrate();
  const results = FAULTS.map((fault) => ({
    fault,
    delays: subjects.map((subject) => ({ subject, ...measureFault(subject, fault) })),
  }));
  const aims = results.map(({ fault, delays }) => {
    const cusum = delays.find(({ subject }) => subject.name === 'CUSUM')?.median ?? Infinity;
    const others = delays.filter(({ subject }) => !subject.name.startsWith('CUSUM'));
    const best = Math.min(...others.map((each) => each.median));
    return {
      name: `CUSUM is no later than the best other: ${fault.name}`,
      met: cusum <= best,
      seen: `${cusum} against ${best} requests`,
    };
  });
  const rows = results.flatMap(({ delays }) => delays.map(({ row }) => row));
  return { scenario: 'detectors', rows, aims };
};
