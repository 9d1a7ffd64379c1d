import { Deployment } from '../harness/Deployment.ts';
import { unlimited } from '../harness/changes.ts';
import { describeEnds, goodShare } from '../harness/findings.ts';
import { Fleet } from '../harness/Fleet.ts';
import type { WrittenBundle } from '../harness/Fleet.ts';
import { makeLoad } from '../harness/makeLoad.ts';
import type { LoadClass } from '../harness/makeLoad.ts';
import { median, spread } from '../harness/Report.ts';
import type { Report, ScenarioOptions } from '../harness/Report.ts';
import { runLoad } from '../harness/runLoad.ts';
import type { LoadRecord } from '../harness/runLoad.ts';

const ENTRIES = 9;
const LIMIT_PER_SECOND = 40;
const GREED = 10;
const OTHER_PER_SECOND = 20;
const MAXIMUM_OVERSHOOT = 0.05;
const MINIMUM_OTHER_SHARE = 0.99;
/** Until the buckets that were full at the start are used up. */
const SETTLE_MS = 3_000;
const VARIANTS = ['product', 'per_entry'] as const;

const limited = (bundle: WrittenBundle): WrittenBundle => {
  const lifted = unlimited(bundle);
  const accounts = lifted.accounts as readonly object[];
  return {
    ...lifted,
    accounts: accounts.map((account, index) =>
      index === 0 ? { ...account, requestsPerSecond: LIMIT_PER_SECOND } : account,
    ),
  };
};

const classOf = (deployment: Deployment, account: number, ratePerSecond: number): LoadClass => {
  const pool = deployment.bundle.pools.find(({ kind }) => kind._tag === 'model');
  return {
    account: deployment.bundle.accounts[account]?.name ?? '',
    tier: 0,
    pool: pool?.name ?? '',
    model: pool?.kind._tag === 'model' ? pool.kind.model : '',
    ratePerSecond,
    promptTokens: [10, 10],
    outputTokens: [4, 4],
    deadlineMs: 5_000,
    streamed: false,
  };
};

const runOnce = async (
  deployment: Deployment,
  accountLimits: (typeof VARIANTS)[number],
  seconds: number,
  seed: number,
) => {
  const fleet = await Fleet.start({
    deployment,
    entries: ENTRIES,
    policy: { accountLimits },
    plan: (plan) => ({
      ...plan,
      engines: plan.engines?.map((engine) => ({ ...engine, instant: true })),
    }),
  });
  try {
    const greedy = classOf(deployment, 0, LIMIT_PER_SECOND * GREED);
    const other = classOf(deployment, 1, OTHER_PER_SECOND);
    const items = makeLoad([greedy, other], seconds, seed);
    const records = await runLoad(fleet, items, { seed });
    const of = (account: string) => records.filter(({ item }) => item.account === account);
    const taken = (all: readonly LoadRecord[]) => all.filter((record) => record.good).length;
    const settled = of(greedy.account).filter(({ item }) => item.atMs >= SETTLE_MS);
    const settledSeconds = seconds - SETTLE_MS / 1_000;
    return {
      perSecond: taken(settled) / settledSeconds,
      overshoot: taken(settled) / (settledSeconds * LIMIT_PER_SECOND) - 1,
      overshootWhole: taken(of(greedy.account)) / (seconds * LIMIT_PER_SECOND) - 1,
      otherShare: goodShare(of(other.account)),
      ends: describeEnds(of(greedy.account)),
    };
  } finally {
    await fleet.stop();
  }
};

/** A greedy account at ten times its limit over nine entries. */
export const accountLimits = async ({
  deployment: name,
  rounds = 2,
  seconds = 13,
}: ScenarioOptions): Promise<Report> => {
  const deployment = new Deployment(name, limited);
  const results = new Map<string, Awaited<ReturnType<typeof runOnce>>[]>();
  for (let round = 0; round < rounds; round += 1) {
    for (const variant of VARIANTS) {
      const result = await runOnce(deployment, variant, seconds, round + 1);
      results.set(variant, [...(results.get(variant) ?? []), result]);
    }
  }
  const of = (variant: string) => results.get(variant) ?? [];
  const overshoot = median(of('product').map((result) => result.overshoot));
  const otherShare = median(of('product').map((result) => result.otherShare));
  return {
    scenario: `account-limits ${name}`,
    rows: VARIANTS.map((variant) => ({
      limits: variant,
      'limit/s': LIMIT_PER_SECOND,
      'taken/s': spread(of(variant).map(({ perSecond }) => perSecond)),
      'overshoot after 3 s': spread(
        of(variant).map((result) => result.overshoot),
        3,
      ),
      'overshoot of the whole run': spread(
        of(variant).map(({ overshootWhole }) => overshootWhole),
        3,
      ),
      "other account's good share": spread(
        of(variant).map((result) => result.otherShare),
        3,
      ),
      'ends of the last round': of(variant).at(-1)?.ends ?? '',
    })),
    aims: [
      {
        name: 'overshoot at most 5 %',
        met: overshoot <= MAXIMUM_OVERSHOOT,
        seen: overshoot.toFixed(3),
      },
      {
        name: 'the other account is not starved',
        met: otherShare >= MINIMUM_OTHER_SHARE,
        seen: otherShare.toFixed(3),
      },
    ],
  };
};
