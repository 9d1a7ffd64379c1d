import { sleep } from '../../test/fakes/listen.ts';
import { Deployment } from '../harness/Deployment.ts';
import { unlimited } from '../harness/changes.ts';
import { fitLine } from '../harness/fitLine.ts';
import type { Point } from '../harness/fitLine.ts';
import { Fleet } from '../harness/Fleet.ts';
import type { FleetOptions, WrittenBundle } from '../harness/Fleet.ts';
import { makeLoad } from '../harness/makeLoad.ts';
import { median, sum } from '../harness/Report.ts';
import type { Report, Row, ScenarioOptions } from '../harness/Report.ts';
import { runLoad } from '../harness/runLoad.ts';

const SETTLE_MS = 3_000;
const MIB = 1024 * 1024;
const US_PER_MS = 1_000;
const TOKEN_REQUESTS_PER_SECOND = 10;

type Change = (bundle: WrittenBundle) => WrittenBundle;

/** What a fleet cost over a stretch of time. */
interface Cost {
  /** Processor time a second of all entries together, ms. */
  readonly cpuMs: number;
  /** Control bytes a second of the median entry. */
  readonly bytes: number;
  /** Resident memory of the median entry, MiB. */
  readonly residentMib: number;
}

/** Runs a fleet, and something on it, and gives what the entries cost meanwhile. */
const costOfFleet = async (
  options: FleetOptions,
  seconds: number,
  work: (fleet: Fleet) => Promise<unknown>,
): Promise<Cost> => {
  const fleet = await Fleet.start(options);
  try {
    await sleep(SETTLE_MS);
    const bytesOf = () =>
      Promise.all(
        fleet.entries.map(
          async (entry) =>
            (await entry.metric('corianderwick_peer_sent_bytes')) +
            (await entry.metric('corianderwick_peer_received_bytes')),
        ),
      );
    const bytes = await bytesOf();
    const cpuMs = sum(fleet.entries.map((entry) => entry.cost().cpuMs));
    const began = performance.now();
    await Promise.all([work(fleet), sleep(seconds * 1_000)]);
    const elapsed = (performance.now() - began) / 1_000;
    const cpuAfter = sum(fleet.entries.map((entry) => entry.cost().cpuMs));
    const after = await bytesOf();
    return {
      cpuMs: (cpuAfter - cpuMs) / elapsed,
      bytes: median(after.map((value, index) => (value - (bytes[index] ?? 0)) / elapsed)),
      residentMib: median(fleet.entries.map((entry) => entry.cost().residentBytes / MIB)),
    };
  } finally {
    await fleet.stop();
  }
};

const idle = async () => undefined;

/** Repeats the members of a list of the bundle under new names until there are so many. */
const repeated =
  (field: string, count: number, rename: (index: number) => object): Change =>
  (bundle) => {
    const list = bundle[field] as readonly object[];
    const more = Array.from({ length: Math.max(0, count - list.length) }, (_, index) => ({
      ...list[0],
      ...rename(index),
    }));
    return { ...bundle, [field]: [...list, ...more] };
  };

const moreAccounts = (count: number): Change =>
  repeated('accounts', count, (index) => ({
    name: `account-${index}`,
    keyDigest: `sha256:${index.toString(16).padStart(64, '0')}`,
  }));

const moreEndpoints = (count: number): Change =>
  repeated('endpoints', count, (index) => ({ name: `endpoint-${index}` }));

const changeOften = (perSecond: number, seconds: number) => async (fleet: Fleet) => {
  for (let roll = 0; roll < perSecond * seconds; roll += 1) {
    await fleet.roll({ ...fleet.bundle, version: roll + 2 }, roll + 2);
    await sleep(1_000 / perSecond);
  }
};

/** Load on one entry whose engines are never what it waits for. */
const loadEntry =
  (ratePerSecond: number, outputTokens: number, streamed: boolean, seconds: number) =>
  (fleet: Fleet) => {
    const { deployment } = fleet.options;
    const [pool] = deployment.bundle.pools;
    const items = makeLoad(
      [
        {
          account: deployment.bundle.accounts[0]?.name ?? '',
          tier: 0,
          pool: pool?.name ?? '',
          model: pool?.kind._tag === 'model' ? pool.kind.model : '',
          ratePerSecond,
          promptTokens: [20, 20],
          outputTokens: [outputTokens, outputTokens],
          deadlineMs: 60_000,
          streamed,
        },
      ],
      seconds,
      ratePerSecond,
    );
    return runLoad(fleet, items, { seed: 1 });
  };

const rowOf = (cost: string, unit: string, points: readonly Point[]): Row => {
  const { slope, slopeError, intercept, fit } = fitLine(points);
  return {
    cost,
    slope: slope.toPrecision(3),
    'standard error': slopeError.toPrecision(2),
    unit,
    'at zero': intercept.toPrecision(3),
    'R²': fit.toFixed(3),
    points: points.map(({ x, y }) => `${x}: ${y.toPrecision(4)}`).join(', '),
  };
};

const measureEach = async (
  values: readonly number[],
  measure: (value: number) => Promise<Cost>,
): Promise<readonly (Cost & { readonly x: number })[]> => {
  const costs = [];
  for (const x of values) costs.push({ x, ...(await measure(x)) });
  return costs;
};

/** Costs per request, token, endpoint, member, account and change, each fitted by a line. */
export const slopes = async ({
  deployment: name,
  seconds = 5,
}: ScenarioOptions): Promise<Report> => {
  const plain = (change: Change = (bundle) => bundle) =>
    new Deployment(name, (bundle) => change(unlimited(bundle)));
  const instant: FleetOptions = {
    deployment: plain(),
    entries: 1,
    plan: (plan) => ({
      ...plan,
      engines: plan.engines?.map((engine) => ({ ...engine, instant: true })),
    }),
  };
  const tokenByToken: FleetOptions = {
    deployment: plain(),
    entries: 1,
    plan: (plan) => ({
      ...plan,
      engines: plan.engines?.map((engine) => ({
        ...engine,
        slots: 256,
        decodeTokensPerSecond: 200,
        decodeSlowdown: 0,
        chunkIntervalMs: 0,
      })),
    }),
  };
  const requests = await measureEach([50, 150, 300, 500], (rate) =>
    costOfFleet(instant, seconds, loadEntry(rate, 4, false, seconds)),
  );
  const tokens = await measureEach([10, 50, 150, 300], (length) =>
    costOfFleet(tokenByToken, seconds, loadEntry(TOKEN_REQUESTS_PER_SECOND, length, true, seconds)),
  );
  const endpoints = await measureEach([12, 100, 400], (count) =>
    costOfFleet({ deployment: plain(moreEndpoints(count)), entries: 1 }, seconds, idle),
  );
  const accounts = await measureEach([5, 500, 2_000], (count) =>
    costOfFleet({ deployment: plain(moreAccounts(count)), entries: 1 }, seconds, idle),
  );
  const members = await measureEach([3, 9, 18, 27], (count) =>
    costOfFleet({ deployment: plain(), entries: count }, seconds, idle),
  );
  const changes = await measureEach([1, 4, 10], (perSecond) =>
    costOfFleet({ deployment: plain(), entries: 3 }, seconds, changeOften(perSecond, seconds)),
  );
  const points = (costs: typeof requests, read: (cost: Cost & { x: number }) => number) =>
    costs.map((cost) => ({ x: cost.x, y: read(cost) }));
  return {
    scenario: `slopes ${name}`,
    rows: [
      rowOf(
        'request',
        'µs of processor time',
        points(requests, ({ cpuMs }) => cpuMs * US_PER_MS),
      ),
      rowOf(
        'generated token of a stream',
        'µs of processor time',
        points(tokens, ({ cpuMs }) => (cpuMs * US_PER_MS) / TOKEN_REQUESTS_PER_SECOND),
      ),
      rowOf(
        'endpoint, idle',
        'µs of processor time a second',
        points(endpoints, ({ cpuMs }) => cpuMs * US_PER_MS),
      ),
      rowOf(
        'endpoint',
        'MiB resident',
        points(endpoints, ({ residentMib }) => residentMib),
      ),
      rowOf(
        'account',
        'MiB resident',
        points(accounts, ({ residentMib }) => residentMib),
      ),
      rowOf(
        'member, idle',
        'µs of processor time a second and process',
        points(members, ({ cpuMs, x }) => (cpuMs * US_PER_MS) / x),
      ),
      rowOf(
        'member, idle',
        'control bytes a second and process',
        points(members, ({ bytes }) => bytes),
      ),
      rowOf(
        'member',
        'MiB resident a process',
        points(members, ({ residentMib }) => residentMib),
      ),
      rowOf(
        'configuration change',
        'ms of processor time a process',
        points(changes, ({ cpuMs }) => cpuMs / 3),
      ),
    ],
    aims: [],
  };
};
