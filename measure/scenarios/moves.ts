import { sleep } from '../../test/fakes/listen.ts';
import type { MoveStatus } from '../../src/state/MoveStatus.ts';
import { Deployment } from '../harness/Deployment.ts';
import { unlimited } from '../harness/changes.ts';
import type { LogLine } from '../harness/EntryProcess.ts';
import { goodShare } from '../harness/findings.ts';
import { Fleet } from '../harness/Fleet.ts';
import { makeLoad } from '../harness/makeLoad.ts';
import { KINDS, loadOf, movedPools, movesOf, NEW, withMovedPools } from '../harness/moveBundle.ts';
import type { MovedPool } from '../harness/moveBundle.ts';
import { quantile } from '../harness/Report.ts';
import type { Report, Row, ScenarioOptions } from '../harness/Report.ts';
import { runLoad } from '../harness/runLoad.ts';

const ENTRIES = 9;
const POOLS_OF_A_KIND = 2;
const ROLL_AT_MS = 3_000;
const DEADLINE_MS = 20_000;
const TROUBLE_AT_MS = 5_000;
const TROUBLE_ENDS_MS = 13_000;
const LAST_WRITES_MS = 3_000;
const MAXIMUM_SHARE = 0.05;
const MAXIMUM_AFTER_FAULT_MS = 2_000;

/** What else goes wrong while the moves are under way. */
type Trouble = 'none' | 'store away' | 'drivers killed' | 'drivers paused';
const TROUBLES: readonly Trouble[] = ['none', 'store away', 'drivers killed', 'drivers paused'];
/** Moves' drivers are spread over all entries; these hit some of them. */
const STRUCK_ENTRIES = [2, 6];

/** What became of one move. */
interface MoveResult {
  readonly kind: string;
  readonly final: string;
  readonly finalWrites: number;
  /** Why it was taken back, as operators read it. */
  readonly reason: string;
  /** New version's part of the pool's placements before its first fault. */
  readonly shareBeforeFault: number;
  readonly newRequests: number;
  /** From the first fault to the last placement on the new version; 0 where there was neither. */
  readonly lastAfterFaultMs: number;
}

const strike = (fleet: Fleet, trouble: Trouble, begins: boolean): void => {
  const struck = STRUCK_ENTRIES.map((index) => fleet.entries[index]);
  if (trouble === 'store away') {
    fleet.standIns.command({ _tag: 'platformFaults', faults: { away: begins } });
  } else if (trouble === 'drivers killed' && begins) {
    struck.forEach((entry) => entry?.signal('SIGKILL'));
  } else if (trouble === 'drivers paused') {
    struck.forEach((entry) => entry?.signal(begins ? 'SIGSTOP' : 'SIGCONT'));
  }
};

const judgeMove = (
  pool: MovedPool,
  statuses: readonly MoveStatus[],
  log: readonly LogLine[],
  firstFaultAt: number,
  rolledAt: number,
): MoveResult => {
  const finals = statuses
    .filter(({ move }) => move.startsWith(`move-${pool.name}`))
    .map(({ state }) => state)
    .filter(({ _tag }) => _tag === 'done' || _tag === 'reverted');
  const placed = log.filter(
    ({ decision, pool: name, time }) =>
      decision === 'placed' && name === pool.name && time >= rolledAt,
  );
  const onNew = placed.filter(({ version }) => version === NEW);
  const before = placed.filter(({ time }) => time < firstFaultAt);
  const newBefore = before.filter(({ version }) => version === NEW);
  const last = onNew.at(-1)?.time ?? 0;
  const final = finals.at(-1);
  const bad = KINDS[pool.kind] !== undefined;
  return {
    kind: pool.kind,
    final: final?._tag ?? 'none',
    finalWrites: finals.length,
    reason: final?._tag === 'reverted' ? final.reason : '',
    shareBeforeFault: bad ? newBefore.length / Math.max(1, before.length) : 0,
    newRequests: onNew.length,
    lastAfterFaultMs: bad && firstFaultAt > 0 ? Math.max(0, last - firstFaultAt) : 0,
  };
};

const runOnce = async (name: ScenarioOptions['deployment'], trouble: Trouble, seed: number) => {
  const pools = movedPools(POOLS_OF_A_KIND);
  const deployment = new Deployment(name, (bundle) => withMovedPools(pools)(unlimited(bundle)));
  const enginesOf = (pool: MovedPool) =>
    deployment.runners
      .filter((endpoint) => endpoint.pool === pool.name)
      .map((endpoint) => deployment.engineIndex(endpoint.name));
  const faults = new Map(
    pools.flatMap((pool) => enginesOf(pool).map((engine) => [engine, KINDS[pool.kind]])),
  );
  const fleet = await Fleet.start({
    deployment,
    entries: ENTRIES,
    plan: (plan) => ({
      ...plan,
      engines: plan.engines?.map((engine, index) => {
        const fault = faults.get(index);
        return fault === undefined ? engine : { ...engine, faults: { versions: { [NEW]: fault } } };
      }),
    }),
  });
  try {
    let rolledAt = 0;
    const roll = () => {
      rolledAt = Date.now();
      const moves = movesOf(pools, new Date(rolledAt + DEADLINE_MS));
      fleet.roll({ ...fleet.bundle, version: 2, moves }, 2);
    };
    const account = deployment.bundle.accounts[0]?.name ?? '';
    const seconds = (ROLL_AT_MS + DEADLINE_MS) / 1_000;
    const records = await runLoad(fleet, makeLoad(loadOf(pools, account), seconds, seed), {
      seed,
      events: [
        { atMs: ROLL_AT_MS, run: roll },
        { atMs: TROUBLE_AT_MS, run: () => strike(fleet, trouble, true) },
        { atMs: TROUBLE_ENDS_MS, run: () => strike(fleet, trouble, false) },
      ],
    });
    await sleep(LAST_WRITES_MS);
    const history = (await fleet.standIns.command({
      _tag: 'history',
      kind: 'movestatuses',
    })) as readonly { readonly object: { readonly spec: MoveStatus } }[];
    const statuses = history.map(({ object }) => object.spec);
    const { engines } = await fleet.standIns.stats();
    const log = fleet.log();
    const results = pools.map((pool) => {
      const starts = enginesOf(pool)
        .map((engine) => engines[engine]?.versions[NEW]?.firstFaultAt ?? 0)
        .filter((at) => at > 0);
      const firstFaultAt = starts.length === 0 ? 0 : Math.min(...starts);
      return judgeMove(pool, statuses, log, firstFaultAt, rolledAt);
    });
    return { results, served: goodShare(records) };
  } finally {
    await fleet.stop();
  }
};

const isRight = ({ kind, final }: MoveResult): boolean =>
  final === (KINDS[kind] === undefined ? 'done' : 'reverted');

const rowOf = (
  trouble: Trouble,
  kind: string,
  results: readonly MoveResult[],
  served: number,
): Row => ({
  trouble,
  'new version': kind,
  moves: results.length,
  done: results.filter(({ final }) => final === 'done').length,
  reverted: results.filter(({ final }) => final === 'reverted').length,
  'final state missing': results.filter(({ final }) => final === 'none').length,
  'final state written again': results.filter(({ finalWrites }) => finalWrites > 1).length,
  'share before the fault, most': Math.max(
    ...results.map(({ shareBeforeFault }) => shareBeforeFault),
  ).toFixed(3),
  'requests to it, median': quantile(
    results.map(({ newRequests }) => newRequests),
    0.5,
  ),
  'last after the first fault, most ms': Math.max(
    ...results.map(({ lastAfterFaultMs }) => lastAfterFaultMs),
  ),
  'good share of all requests': served.toFixed(3),
  reasons: [...new Set(results.map(({ reason }) => reason))].join('; '),
});

/** Moves to good and bad versions under load, several pools at a time; `--rounds 10` gives 20 of each. */
export const moves = async ({ deployment: name, rounds = 1 }: ScenarioOptions): Promise<Report> => {
  const rows: Row[] = [];
  const all: MoveResult[] = [];
  for (const trouble of TROUBLES) {
    const found: MoveResult[] = [];
    const served: number[] = [];
    for (let round = 0; round < rounds; round += 1) {
      const run = await runOnce(name, trouble, round + 1);
      found.push(...run.results);
      served.push(run.served);
    }
    Object.keys(KINDS).forEach((kind) => {
      const some = found.filter((result) => result.kind === kind);
      rows.push(rowOf(trouble, kind, some, quantile(served, 0.5)));
    });
    all.push(...found);
  }
  const good = all.filter(({ kind }) => KINDS[kind] === undefined);
  const bad = all.filter(({ kind }) => KINDS[kind] !== undefined);
  const aim = (label: string, wrong: readonly MoveResult[], of: readonly MoveResult[]) => ({
    name: label,
    met: wrong.length === 0,
    seen: `${wrong.length} of ${of.length} not so`,
  });
  return {
    scenario: `moves ${name}`,
    rows,
    aims: [
      aim(
        'every good version completed in time',
        good.filter((result) => !isRight(result)),
        good,
      ),
      aim(
        'every bad version taken back',
        bad.filter((result) => !isRight(result)),
        bad,
      ),
      aim(
        'at most 5 % to a bad version before its fault shows',
        bad.filter(({ shareBeforeFault }) => shareBeforeFault > MAXIMUM_SHARE),
        bad,
      ),
      aim(
        'none 2 s after its fault shows',
        bad.filter(({ lastAfterFaultMs }) => lastAfterFaultMs > MAXIMUM_AFTER_FAULT_MS),
        bad,
      ),
      aim(
        'no final state written twice',
        all.filter(({ finalWrites }) => finalWrites > 1),
        all,
      ),
    ],
  };
};
