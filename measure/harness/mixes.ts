import type { Deployment } from './Deployment.ts';
import { capacityOf, meanLength } from './makeLoad.ts';
import type { LoadClass } from './makeLoad.ts';

/** By how much engines and deadlines are shortened to keep runs short. */
export const SPEEDUP = 4;

/** Shares of the work, lengths and deadlines of the three tiers; lengths differ a hundredfold. */
const TIERS = [
  { share: 0.25, promptTokens: [40, 400], outputTokens: [8, 80], deadlineMs: 8_000 },
  { share: 0.35, promptTokens: [100, 2_000], outputTokens: [20, 200], deadlineMs: 16_000 },
  { share: 0.4, promptTokens: [400, 4_000], outputTokens: [80, 800], deadlineMs: 40_000 },
] as const;

/**
 * Mixes a load of three tiers for each model pool of a deployment.
 *
 * @param deployment - whose pools, engines and accounts are used
 * @param load - offered work as a multiple of what the engines can do
 * @returns one class for each pool and tier
 */
export const tieredMix = (deployment: Deployment, load: number): readonly LoadClass[] =>
  deployment.bundle.pools.flatMap((pool) => {
    if (pool.kind._tag !== 'model') return [];
    const { model } = pool.kind;
    const endpoints = deployment.runners.filter((endpoint) => endpoint.pool === pool.name);
    return TIERS.map(({ share, promptTokens, outputTokens, deadlineMs }, rank): LoadClass => {
      const tier = deployment.bundle.tiers.find((one) => one.rank === rank);
      const account = deployment.bundle.accounts.find((one) => one.tier === tier?.name);
      const capacity = capacityOf(endpoints, meanLength(promptTokens), meanLength(outputTokens));
      return {
        account: account?.name ?? '',
        tier: rank,
        pool: pool.name,
        model,
        ratePerSecond: capacity * share * load,
        promptTokens,
        outputTokens,
        deadlineMs: deadlineMs / SPEEDUP,
        streamed: rank > 0,
      };
    });
  });
