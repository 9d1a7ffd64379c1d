import { runPolicy, type Ended, type PolicyResult } from './runPolicy.ts';
import { measureThroughput } from './throughput.ts';
import { BASELINE, BURST_TO_MS, PRODUCT, SCENARIOS } from './scenarios.ts';

const SEEDS = [1, 2, 3];

const percentile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
};
const share = (part: number, whole: number): string =>
  ((100 * part) / Math.max(1, whole)).toFixed(1);
const isGood = ({ result }: Ended): boolean => result === 'good';

const row = (name: string, { ended, ...result }: PolicyResult, extra: string): string => {
  const streams = [...new Set(ended.map(({ stream }) => stream))].sort();
  const good = streams.map((stream) => {
    const own = ended.filter((each) => each.stream === stream);
    return share(own.filter(isGood).length, own.length);
  });
  const latencies = ended.filter(isGood).map(({ arrivedAt, endedAt }) => endedAt - arrivedAt);
  const perSecond = Math.round((1_000 * ended.length) / result.schedulerMs);
  return [
    name.padEnd(28),
    `good% by stream ${good.join(' ').padEnd(22)}`,
    `good ${ended.filter(isGood).length}`,
    `refused ${ended.filter(({ result: how }) => how === 'refused').length}`,
    `late ${ended.filter(({ result: how }) => how === 'late').length}`,
    `p50 ${percentile(latencies, 0.5)} p99 ${percentile(latencies, 0.99)}`,
    `wasted ${(100 * result.wastedPrefill).toFixed(1)}%`,
    `inversions ${result.inversions} suspended ${result.suspensions} ${perSecond}/s`,
    extra,
  ].join('  ');
};

const extraOf = (scenario: string, ended: readonly Ended[]): string => {
  if (scenario === 'straggler') {
    const during = ended.filter(({ endedAt }) => endedAt >= 21_000 && endedAt < 42_000);
    const own = during.filter(({ arrivedAt }) => arrivedAt >= 21_000 && arrivedAt < 40_000);
    return `to straggler ${share(own.filter(({ endpoint }) => endpoint === 0).length, own.length)}%`;
  }
  if (scenario === 'burst') {
    const after = [0, 5, 10].map((seconds) => {
      const from = BURST_TO_MS + seconds * 1_000;
      const own = ended.filter(({ arrivedAt }) => arrivedAt >= from && arrivedAt < from + 5_000);
      return share(own.filter(isGood).length, own.length);
    });
    return `good% of arrivals after the burst, 5 s spans ${after.join(' ')}`;
  }
  return '';
};

const wanted = process.argv.slice(2);
for (const [name, scenario] of Object.entries(SCENARIOS)) {
  if (wanted.length === 0 || wanted.includes(name)) {
    for (const [label, policy] of Object.entries({ product: PRODUCT, baseline: BASELINE })) {
      for (const seed of SEEDS) {
        const result = runPolicy({ ...scenario, seed, policy });
        console.log(row(`${name} ${label} ${seed}`, result, extraOf(name, result.ended)));
      }
    }
  }
}

if (wanted.length === 0 || wanted.includes('throughput')) {
  [0, 1_000, 5_000].forEach((waiting) => {
    const perSecond = measureThroughput(waiting, 5_000, 2_000);
    console.log(`throughput  ${waiting} waiting  ${perSecond} reservations a second`);
  });
}
