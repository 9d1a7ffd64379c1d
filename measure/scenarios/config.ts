import { Deployment } from '../harness/Deployment.ts';
import { Fleet } from '../harness/Fleet.ts';
import { quantile, sum } from '../harness/Report.ts';
import type { Report, Row, ScenarioOptions } from '../harness/Report.ts';
import type { LogLine } from '../harness/EntryProcess.ts';
import { sleep } from '../../test/fakes/listen.ts';
import type { PlatformFaults } from '../../test/fakes/platform/index.ts';

const SIZES = [9, 27];
const SPACING_MS = 3_000;
const LAST_WAIT_MS = 6_000;
const MAXIMUM_UP_MS = 2_000;
const MAXIMUM_AWAY_MS = 5_000;
const SLOW_STORE_MS = 300;

/** State of the store in which a bundle is rolled. */
interface StoreState {
  readonly name: string;
  readonly before: Partial<PlatformFaults>;
  readonly after: Partial<PlatformFaults>;
  readonly maximumMs: number;
}

const STATES: readonly StoreState[] = [
  { name: 'up', before: {}, after: {}, maximumMs: MAXIMUM_UP_MS },
  {
    name: 'slow',
    before: { slowMs: SLOW_STORE_MS },
    after: { slowMs: 0 },
    maximumMs: MAXIMUM_AWAY_MS,
  },
  // The watches have been told, and then nothing more is to be had from the store.
  { name: 'away just after', before: {}, after: { away: true }, maximumMs: MAXIMUM_AWAY_MS },
];

const appliedAt = (log: readonly LogLine[], rollNumber: number): number | undefined =>
  log.find((line) => line.decision === 'configurationApplied' && line.rollNumber === rollNumber)
    ?.time;

const countReverts = (log: readonly LogLine[]): number =>
  log
    .filter(({ decision }) => decision === 'configurationApplied')
    .map(({ rollNumber }) => Number(rollNumber))
    .filter((rollNumber, index, all) => index > 0 && rollNumber <= (all[index - 1] ?? 0)).length;

const measureSize = async (deployment: Deployment, size: number, rounds: number) => {
  const fleet = await Fleet.start({ deployment, entries: size });
  try {
    const rolls: { readonly state: StoreState; readonly number: number; readonly at: number }[] =
      [];
    for (const state of STATES) {
      for (let round = 0; round < rounds; round += 1) {
        const number = rolls.length + 2;
        await fleet.standIns.command({ _tag: 'platformFaults', faults: state.before });
        const at = Date.now();
        await fleet.roll({ ...fleet.bundle, version: number }, number);
        await fleet.standIns.command({ _tag: 'platformFaults', faults: state.after });
        rolls.push({ state, number, at });
        await sleep(SPACING_MS);
        await fleet.standIns.command({
          _tag: 'platformFaults',
          faults: { away: false, slowMs: 0 },
        });
        if (state.after.away === true) await sleep(SPACING_MS);
      }
    }
    await sleep(LAST_WAIT_MS);
    const logs = fleet.entries.map((entry) => entry.log());
    const rows: Row[] = STATES.map((state) => {
      const times = rolls
        .filter((roll) => roll.state === state)
        .map(({ number, at }) =>
          Math.max(...logs.map((log) => (appliedAt(log, number) ?? Infinity) - at)),
        );
      return {
        entries: size,
        store: state.name,
        rolls: times.length,
        'median ms until in force at all': quantile(times, 0.5),
        'longest ms': Math.max(...times),
        'bound ms': state.maximumMs,
        reverts: sum(logs.map(countReverts)),
      };
    });
    return rows;
  } finally {
    await fleet.stop();
  }
};

/** Time from a roll until it is in force at every entry, and whether any goes back. */
export const config = async ({
  deployment: name,
  rounds = 4,
}: ScenarioOptions): Promise<Report> => {
  const deployment = new Deployment(name);
  const rows: Row[] = [];
  for (const size of SIZES) rows.push(...(await measureSize(deployment, size, rounds)));
  const late = rows.filter((row) => Number(row['longest ms']) > Number(row['bound ms']));
  const reverts = sum(rows.map((row) => Number(row.reverts)));
  return {
    scenario: `config ${name}`,
    rows,
    aims: [
      {
        name: 'in force everywhere within 2 s with the store up, 5 s otherwise',
        met: late.length === 0,
        seen: late.map((row) => `${row.entries} ${row.store} ${row['longest ms']} ms`).join(', '),
      },
      { name: 'no reverts', met: reverts === 0, seen: String(reverts) },
    ],
  };
};
