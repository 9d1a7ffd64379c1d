import { parseArgs } from 'node:util';
import fc from 'fast-check';
import { playReplication } from './playReplication.ts';
import {
  calmSteps,
  endpointSteps,
  lapseSteps,
  lateSteps,
  mergePlans,
  replicationPlan,
  restoreSteps,
  slowSteps,
  type ReplicationStep,
} from './ReplicationPlan.ts';

const { values } = parseArgs({
  options: {
    runs: { type: 'string', default: '10000' },
    seed: { type: 'string', default: '1' },
    path: { type: 'string' },
    /** Adds faults that disturb neither the store nor a gateway. */
    calm: { type: 'boolean', default: false },
    /** Adds times in which the store or links between gateways are slow. */
    slow: { type: 'boolean', default: false },
    /** Adds endpoints that say that they leave, and entries that can't be read. */
    endpoints: { type: 'boolean', default: false },
    /** Adds endpoints whose heartbeats the store carries out after they have drained. */
    late: { type: 'boolean', default: false },
    /** Takes the store down for long once, so that the entry of an endpoint expires that lives; no other faults but those above. */
    lapses: { type: 'boolean', default: false },
    /** Adds returns of the store from older copies. */
    restores: { type: 'boolean', default: false },
    /** Plays this one plan, as a failed run prints it. */
    plan: { type: 'string' },
    log: { type: 'boolean', default: false },
  },
});

const none = fc.constant([]);
const faultSteps = values.lapses ? lapseSteps : replicationPlan;
const furtherSteps = fc
  .tuple(
    values.calm ? calmSteps : none,
    values.slow ? slowSteps : none,
    values.endpoints ? endpointSteps : none,
    values.late ? lateSteps : none,
    values.restores ? restoreSteps : none,
  )
  .map((steps) => mergePlans(...steps));

/** Plays one plan and prints the first view that was too old, if any. */
const playPlan = async (seed: number, plan: readonly ReplicationStep[]): Promise<void> => {
  const onLog = values.log ? (line: unknown) => console.log(JSON.stringify(line)) : undefined;
  const { stale } = await playReplication(seed, plan, onLog);
  console.log(JSON.stringify({ seed, plan }));
  console.log(stale.length === 0 ? 'no view was too old' : JSON.stringify(stale[0]));
  if (stale.length > 0) process.exitCode = 1;
};

const playRandomPlans = async (): Promise<void> => {
  const start = performance.now();
  let calls = 0;
  let played = 0;
  const result = await fc.check(
    fc.asyncProperty(fc.integer(), faultSteps, furtherSteps, async (seed, plan, further) => {
      const { stale, storeCalls } = await playReplication(seed, mergePlans(plan, further));
      calls += storeCalls;
      played += 1;
      return stale.length === 0;
    }),
    {
      numRuns: Number(values.runs),
      seed: Number(values.seed),
      ...(values.path === undefined ? {} : { path: values.path }),
    },
  );
  const seconds = Math.round((performance.now() - start) / 1_000);
  console.log(
    `seed ${values.seed}: ${result.numRuns} of ${values.runs} runs in ${seconds} s, ${(calls / played).toFixed(1)} store calls a run`,
  );
  if (result.counterexample === null) return;
  console.log(`stale view after ${result.numShrinks} shrinks, path ${result.counterexamplePath}`);
  const [seed, disturbances, further] = result.counterexample;
  await playPlan(seed, mergePlans(disturbances, further));
};

if (values.plan === undefined) await playRandomPlans();
else {
  const { seed, plan } = JSON.parse(values.plan) as {
    readonly seed: number;
    readonly plan: readonly ReplicationStep[];
  };
  await playPlan(seed, plan);
}
