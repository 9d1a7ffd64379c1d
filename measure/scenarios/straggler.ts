import { Deployment } from '../harness/Deployment.ts';
import { faster, unlimited } from '../harness/changes.ts';
import { goodShare } from '../harness/findings.ts';
import { Fleet } from '../harness/Fleet.ts';
import { makeLoad } from '../harness/makeLoad.ts';
import { SPEEDUP, tieredMix } from '../harness/mixes.ts';
import { POLICIES, POLICY_NAMES } from '../harness/policies.ts';
import type { PolicyName } from '../harness/policies.ts';
import { quantile, spread } from '../harness/Report.ts';
import type { Report, ScenarioOptions } from '../harness/Report.ts';
import { runLoad } from '../harness/runLoad.ts';

const ENTRIES = 9;
const LOAD = 0.4;
const SLOW_FACTOR = 0.1;
const SLOW_AT_S = 6;
const SETTLE_S = 4;

const runOnce = async (
  deployment: Deployment,
  policy: PolicyName,
  seconds: number,
  seed: number,
) => {
  const fleet = await Fleet.start({ deployment, entries: ENTRIES, policy: POLICIES[policy] });
  const straggler = deployment.runners[0]?.name ?? '';
  const slow = () =>
    fleet.standIns.command({
      _tag: 'engineFaults',
      engine: deployment.engineIndex(straggler),
      faults: { speedFactor: SLOW_FACTOR },
    });
  try {
    const items = makeLoad(tieredMix(deployment, LOAD), seconds, seed);
    const began = Date.now();
    const events = [{ atMs: SLOW_AT_S * 1_000, run: slow }];
    const records = await runLoad(fleet, items, { seed, events });
    const placed = fleet.log().filter(({ decision }) => decision === 'placed');
    const shareBetween = (fromS: number, toS: number) => {
      const some = placed.filter(
        ({ time }) => time >= began + fromS * 1_000 && time < began + toS * 1_000,
      );
      return some.filter(({ choice }) => choice === straggler).length / Math.max(1, some.length);
    };
    const between = (fromS: number, toS: number) =>
      records.filter(({ item }) => item.atMs >= fromS * 1_000 && item.atMs < toS * 1_000);
    const p99 = (fromS: number, toS: number) =>
      quantile(
        between(fromS, toS).map(({ totalMs }) => totalMs),
        0.99,
      );
    const settled = SLOW_AT_S + SETTLE_S;
    return {
      shareBefore: shareBetween(0, SLOW_AT_S),
      shareAfter: shareBetween(settled, seconds),
      p99Before: p99(0, SLOW_AT_S),
      p99After: p99(settled, seconds),
      goodBefore: goodShare(between(0, SLOW_AT_S)),
      goodAfter: goodShare(between(settled, seconds)),
    };
  } finally {
    await fleet.stop();
  }
};

/** One endpoint at a tenth of its speed. The issue sets no bound: what is seen is shown. */
export const straggler = async ({
  deployment: name,
  rounds = 2,
  seconds = 18,
}: ScenarioOptions): Promise<Report> => {
  const deployment = new Deployment(name, (bundle) => faster(SPEEDUP)(unlimited(bundle)));
  const results = new Map<PolicyName, Awaited<ReturnType<typeof runOnce>>[]>();
  for (let round = 0; round < rounds; round += 1) {
    for (const policy of POLICY_NAMES) {
      const result = await runOnce(deployment, policy, seconds, round + 1);
      results.set(policy, [...(results.get(policy) ?? []), result]);
    }
  }
  return {
    scenario: `straggler ${name}`,
    rows: POLICY_NAMES.map((policy) => {
      const of = (read: (result: Awaited<ReturnType<typeof runOnce>>) => number) =>
        (results.get(policy) ?? []).map(read);
      return {
        policy,
        'share to it before': spread(
          of(({ shareBefore }) => shareBefore),
          3,
        ),
        'from 4 s after': spread(
          of(({ shareAfter }) => shareAfter),
          3,
        ),
        'p99 before, ms': spread(
          of(({ p99Before }) => p99Before),
          0,
        ),
        'p99 from 4 s after, ms': spread(
          of(({ p99After }) => p99After),
          0,
        ),
        'good share before': spread(
          of(({ goodBefore }) => goodBefore),
          3,
        ),
        'good share from 4 s after': spread(
          of(({ goodAfter }) => goodAfter),
          3,
        ),
      };
    }),
    aims: [],
  };
};
