import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { playReplication } from './playReplication.ts';
import { lateSteps, mergePlans, replicationPlan, type ReplicationStep } from './ReplicationPlan.ts';

const findStaleViews = async (plan: readonly ReplicationStep[], seed = 0) =>
  (await playReplication(seed, plan)).stale;

/** Random plans that a run of the tests plays; `npm run replication -- --late` plays more. */
const RANDOM_PLANS = 300;

describe('Gateways that follow a store which carries out calls late', () => {
  // DRAIN: an earlier heartbeat that the store carried out late brought an endpoint back that had drained.
  it('keep a drained endpoint out that the store lists as ready again', async () => {
    const drain = { _tag: 'drainBeforeHeartbeat', endpoint: 0 } as const;
    const plans: readonly (readonly ReplicationStep[])[] = [100, 1_900, 2_600, 5_900].map(
      (afterMs) => [{ at: 0, action: { ...drain, afterMs } }],
    );
    const results = await Promise.all(plans.map((plan) => findStaleViews(plan)));
    expect(results).toEqual(plans.map(() => []));
  });

  it('send nothing late, though the store carries out calls of endpoints late', async () => {
    const property = fc.asyncProperty(
      fc.integer(),
      replicationPlan,
      lateSteps,
      async (seed, plan, further) => {
        expect(await findStaleViews(mergePlans(plan, further), seed)).toEqual([]);
      },
    );
    await fc.assert(property, { numRuns: RANDOM_PLANS, seed: 52 });
  });
});
