import { Deployment } from '../harness/Deployment.ts';
import { faster, unlimited } from '../harness/changes.ts';
import {
  compareWithStandIns,
  countInversions,
  describeEnds,
  goodShare,
  wastedPrefill,
} from '../harness/findings.ts';
import { Fleet } from '../harness/Fleet.ts';
import { makeLoad } from '../harness/makeLoad.ts';
import { SPEEDUP, tieredMix } from '../harness/mixes.ts';
import { POLICIES, POLICY_NAMES } from '../harness/policies.ts';
import type { PolicyName } from '../harness/policies.ts';
import { median, spread, sum } from '../harness/Report.ts';
import type { Report, ScenarioOptions } from '../harness/Report.ts';
import { runLoad } from '../harness/runLoad.ts';

const ENTRIES = 9;
const OFFERED = 2;
const TIERS = [0, 1, 2];
const MINIMUM_TOP_SHARE = 0.99;
const MINIMUM_GAIN = 1.3;
const MAXIMUM_WASTE = 0.02;

interface Result {
  readonly policy: PolicyName;
  readonly goodShares: readonly number[];
  readonly goodPerSecond: number;
  readonly goodTokensPerSecond: number;
  readonly waste: number;
  readonly inversions: number;
  readonly doubled: number;
  readonly falseNotRun: number;
  readonly ends: string;
}

const runOnce = async (
  deployment: Deployment,
  policy: PolicyName,
  seconds: number,
  seed: number,
): Promise<Result> => {
  const fleet = await Fleet.start({ deployment, entries: ENTRIES, policy: POLICIES[policy] });
  try {
    const items = makeLoad(tieredMix(deployment, OFFERED), seconds, seed);
    const records = await runLoad(fleet, items, { seed });
    const good = records.filter((record) => record.good);
    const truth = await compareWithStandIns(records, fleet.standIns);
    return {
      policy,
      goodShares: TIERS.map((tier) => goodShare(records.filter(({ item }) => item.tier === tier))),
      goodPerSecond: good.length / seconds,
      goodTokensPerSecond: sum(good.map(({ item }) => item.outputTokens)) / seconds,
      waste: wastedPrefill(await fleet.standIns.stats()),
      inversions: countInversions(fleet.log()),
      doubled: truth.doubled,
      falseNotRun: truth.falseNotRun.length,
      ends: describeEnds(records),
    };
  } finally {
    await fleet.stop();
  }
};

/** Twice the load that the engines can do, in three tiers with lengths that differ a hundredfold. */
export const overload = async ({
  deployment: name,
  rounds = 2,
  seconds = 12,
}: ScenarioOptions): Promise<Report> => {
  const deployment = new Deployment(name, (bundle) => faster(SPEEDUP)(unlimited(bundle)));
  const results: Result[] = [];
  for (let round = 0; round < rounds; round += 1) {
    for (const policy of POLICY_NAMES) {
      results.push(await runOnce(deployment, policy, seconds, round + 1));
    }
  }
  const of = (policy: PolicyName) => results.filter((result) => result.policy === policy);
  const values = (policy: PolicyName, read: (result: Result) => number) => of(policy).map(read);
  const top = median(values('product', ({ goodShares }) => goodShares[0] ?? 0));
  const gain =
    median(values('product', ({ goodPerSecond }) => goodPerSecond)) /
    median(values('baseline', ({ goodPerSecond }) => goodPerSecond));
  const waste = median(values('product', (result) => result.waste));
  const inversions = sum(values('product', (result) => result.inversions));
  const lies = sum(values('product', ({ doubled, falseNotRun }) => doubled + falseNotRun));
  return {
    scenario: `overload ${name}`,
    rows: POLICY_NAMES.map((policy) => ({
      policy,
      ...Object.fromEntries(
        TIERS.map((tier) => [
          `good share tier ${tier}`,
          spread(
            values(policy, ({ goodShares }) => goodShares[tier] ?? 0),
            3,
          ),
        ]),
      ),
      'good requests/s': spread(
        values(policy, ({ goodPerSecond }) => goodPerSecond),
        1,
      ),
      'good tokens/s': spread(
        values(policy, ({ goodTokensPerSecond }) => goodTokensPerSecond),
        0,
      ),
      'wasted prefill': spread(
        values(policy, (result) => result.waste),
        4,
      ),
      inversions: sum(values(policy, (result) => result.inversions)),
      doubled: sum(values(policy, ({ doubled }) => doubled)),
      'false not run': sum(values(policy, ({ falseNotRun }) => falseNotRun)),
      'ends of the last round': of(policy).at(-1)?.ends ?? '',
    })),
    aims: [
      {
        name: 'top-tier goodput at least 99 % of what it offers',
        met: top >= MINIMUM_TOP_SHARE,
        seen: top.toFixed(4),
      },
      {
        name: 'total goodput at least 1.3 times the baseline',
        met: gain >= MINIMUM_GAIN,
        seen: gain.toFixed(2),
      },
      { name: 'wasted prefill at most 2 %', met: waste <= MAXIMUM_WASTE, seen: waste.toFixed(4) },
      { name: 'no tier inversion', met: inversions === 0, seen: String(inversions) },
      { name: 'no double dispatch and no false "not run"', met: lies === 0, seen: String(lies) },
    ],
  };
};
