import { Deployment } from '../harness/Deployment.ts';
import { faster, unlimited } from '../harness/changes.ts';
import { describeEnds, goodShare } from '../harness/findings.ts';
import { Fleet } from '../harness/Fleet.ts';
import { makeLoad } from '../harness/makeLoad.ts';
import { SPEEDUP, tieredMix } from '../harness/mixes.ts';
import { POLICIES, POLICY_NAMES } from '../harness/policies.ts';
import type { PolicyName } from '../harness/policies.ts';
import { median, spread } from '../harness/Report.ts';
import type { Report, ScenarioOptions } from '../harness/Report.ts';
import { runLoad } from '../harness/runLoad.ts';
import type { LoadRecord } from '../harness/runLoad.ts';

const ENTRIES = 9;
const BASE_LOAD = 0.5;
const BURST_LOAD = 2.5;
const BURST_AT_S = 4;
const BURST_SECONDS = 5;
const BURST_END_S = BURST_AT_S + BURST_SECONDS;
const WINDOW_S = 1;
const RECOVERED_SHARE = 0.95;
const MAXIMUM_RECOVERY_S = 5;

/** First time after the burst from which on every window's goodput is back, in seconds after its end. */
const recoveryOf = (records: readonly LoadRecord[], seconds: number): number => {
  const windows = Array.from({ length: seconds - BURST_END_S }, (_, index) => index);
  const shareIn = (index: number) => {
    const from = (BURST_END_S + index * WINDOW_S) * 1_000;
    return goodShare(
      records.filter(({ item }) => item.atMs >= from && item.atMs < from + WINDOW_S * 1_000),
    );
  };
  const lastBad = windows.findLastIndex((index) => shareIn(index) < RECOVERED_SHARE);
  return lastBad + 1;
};

const runOnce = async (
  deployment: Deployment,
  policy: PolicyName,
  seconds: number,
  seed: number,
) => {
  const fleet = await Fleet.start({ deployment, entries: ENTRIES, policy: POLICIES[policy] });
  try {
    const base = makeLoad(tieredMix(deployment, BASE_LOAD), seconds, seed);
    const extra = tieredMix(deployment, BURST_LOAD - BASE_LOAD);
    const burst = makeLoad(extra, BURST_SECONDS, seed + 1, BURST_AT_S * 1_000);
    const items = [...base, ...burst].sort((a, b) => a.atMs - b.atMs);
    const records = await runLoad(fleet, items, { seed });
    const during = records.filter(
      ({ item }) => item.atMs >= BURST_AT_S * 1_000 && item.atMs < BURST_END_S * 1_000,
    );
    return {
      recovery: recoveryOf(records, seconds),
      before: goodShare(records.filter(({ item }) => item.atMs < BURST_AT_S * 1_000)),
      topDuring: goodShare(during.filter(({ item }) => item.tier === 0)),
      during: goodShare(during),
      ends: describeEnds(records),
    };
  } finally {
    await fleet.stop();
  }
};

/** Five times the usual load for five seconds. */
export const burst = async ({
  deployment: name,
  rounds = 2,
  seconds = 20,
}: ScenarioOptions): Promise<Report> => {
  const deployment = new Deployment(name, (bundle) => faster(SPEEDUP)(unlimited(bundle)));
  const results = new Map<PolicyName, Awaited<ReturnType<typeof runOnce>>[]>();
  for (let round = 0; round < rounds; round += 1) {
    for (const policy of POLICY_NAMES) {
      const result = await runOnce(deployment, policy, seconds, round + 1);
      results.set(policy, [...(results.get(policy) ?? []), result]);
    }
  }
  const of = (policy: PolicyName) => results.get(policy) ?? [];
  const recovery = median(of('product').map((result) => result.recovery));
  return {
    scenario: `burst ${name}`,
    rows: POLICY_NAMES.map((policy) => ({
      policy,
      'good share before': spread(
        of(policy).map(({ before }) => before),
        3,
      ),
      'in the burst': spread(
        of(policy).map(({ during }) => during),
        3,
      ),
      'top tier in the burst': spread(
        of(policy).map(({ topDuring }) => topDuring),
        3,
      ),
      's until 95 % again': spread(
        of(policy).map((result) => result.recovery),
        0,
      ),
      'ends of the last round': of(policy).at(-1)?.ends ?? '',
    })),
    aims: [
      {
        name: 'goodput back to 95 % within 5 s of the end of the burst',
        met: recovery <= MAXIMUM_RECOVERY_S,
        seen: `${recovery} s`,
      },
    ],
  };
};
