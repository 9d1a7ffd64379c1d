import { sleep } from '../../test/fakes/listen.ts';
import { Deployment } from '../harness/Deployment.ts';
import { unlimited } from '../harness/changes.ts';
import { Fleet } from '../harness/Fleet.ts';
import { makeLoad } from '../harness/makeLoad.ts';
import { tieredMix } from '../harness/mixes.ts';
import { median, sum } from '../harness/Report.ts';
import type { Report, Row, ScenarioOptions } from '../harness/Report.ts';
import { runLoad } from '../harness/runLoad.ts';

const SIZES = [3, 9, 27, 81];
const SETTLE_MS = 6_000;
const STEADY_LOAD = 0.1;
const MAXIMUM_BYTES_PER_SECOND = 4_096;
const MAXIMUM_CPU_SHARE = 0.02;
const MAXIMUM_RESIDENT_MIB = 128;
const MIB = 1024 * 1024;
/** By how much a cost may grow from the smallest fleet to the largest and still count as flat. */
const FLAT_FACTOR = 1.5;

interface Reading {
  readonly at: number;
  readonly cpuMs: readonly number[];
  readonly bytes: readonly number[];
  readonly storeCalls: number;
}

const read = async (fleet: Fleet): Promise<Reading> => {
  const bytesOf = async (index: number) => {
    const entry = fleet.entries[index];
    const sent = (await entry?.metric('corianderwick_peer_sent_bytes')) ?? 0;
    return sent + ((await entry?.metric('corianderwick_peer_received_bytes')) ?? 0);
  };
  const { platform } = await fleet.standIns.stats();
  return {
    at: performance.now(),
    cpuMs: fleet.entries.map((entry) => entry.cost().cpuMs),
    bytes: await Promise.all(fleet.entries.map((_, index) => bytesOf(index))),
    storeCalls: platform.reads + platform.writes,
  };
};

const rowOf = (fleet: Fleet, load: string, from: Reading, to: Reading): Row => {
  const elapsedMs = to.at - from.at;
  const rate = (key: 'cpuMs' | 'bytes') =>
    to[key].map((value, index) => (value - (from[key][index] ?? 0)) / elapsedMs);
  const bytes = rate('bytes').map((value) => value * 1_000);
  const resident = fleet.entries.map((entry) => entry.cost().residentBytes / MIB);
  return {
    entries: fleet.entries.length,
    load,
    'bytes/s median': Math.round(median(bytes)),
    'bytes/s most': Math.round(Math.max(...bytes)),
    'cpu share median': median(rate('cpuMs')).toFixed(4),
    'cpu share most': Math.max(...rate('cpuMs')).toFixed(4),
    'resident MiB median': median(resident).toFixed(0),
    'resident MiB most': Math.max(...resident).toFixed(0),
    'store calls/s of the fleet': ((to.storeCalls - from.storeCalls) / (elapsedMs / 1_000)).toFixed(
      1,
    ),
  };
};

const measureSize = async (
  deployment: Deployment,
  size: number,
  seconds: number,
): Promise<readonly Row[]> => {
  const fleet = await Fleet.start({ deployment, entries: size });
  try {
    await sleep(SETTLE_MS);
    const start = await read(fleet);
    await sleep(seconds * 1_000);
    const idle = await read(fleet);
    const items = makeLoad(tieredMix(deployment, STEADY_LOAD), seconds, size);
    await runLoad(fleet, items, { seed: size });
    const steady = await read(fleet);
    const rate = `${(items.length / seconds).toFixed(1)} requests/s`;
    return [rowOf(fleet, 'idle', start, idle), rowOf(fleet, rate, idle, steady)];
  } finally {
    await fleet.stop();
  }
};

/** What a process spends on control as the fleet grows. Steady load serves requests too, so bounds on processor time are for idle. */
export const controlCost = async ({
  deployment: name,
  seconds = 10,
}: ScenarioOptions): Promise<Report> => {
  const deployment = new Deployment(name, unlimited);
  const rows: Row[] = [];
  const notReady: number[] = [];
  for (const size of SIZES) {
    try {
      rows.push(...(await measureSize(deployment, size, seconds)));
    } catch (error) {
      console.log(`${size} entries: ${error}`);
      notReady.push(size);
    }
  }
  const idle = rows.filter(({ load }) => load === 'idle');
  const most = (column: string, some = rows) => Math.max(...some.map((row) => Number(row[column])));
  const [first, last] = [idle[0], idle.at(-1)];
  const growth = Number(last?.['bytes/s median']) / Math.max(1, Number(first?.['bytes/s median']));
  const storeGrowth =
    Number(last?.['store calls/s of the fleet']) /
    Math.max(0.1, Number(first?.['store calls/s of the fleet']));
  const fleetGrowth = Number(last?.entries) / Number(first?.entries);
  const aim = (label: string, seen: number, maximum: number) => ({
    name: label,
    met: seen <= maximum,
    seen: seen.toPrecision(3),
  });
  return {
    scenario: `control-cost ${name}, ${sum(SIZES)} processes`,
    rows,
    aims: [
      { name: 'every fleet became ready', met: notReady.length === 0, seen: String(notReady) },
      aim('at most 4 KB/s a process', most('bytes/s most'), MAXIMUM_BYTES_PER_SECOND),
      aim('at most 2 % of a core, idle', most('cpu share most', idle), MAXIMUM_CPU_SHARE),
      aim('at most 128 MB a process', most('resident MiB most'), MAXIMUM_RESIDENT_MIB),
      aim('bytes flat as the fleet grows', growth, FLAT_FACTOR),
      aim('store calls grow more slowly than the fleet', storeGrowth, fleetGrowth - Number.EPSILON),
    ],
  };
};
