import { createHash } from 'node:crypto';
import type { TestContext } from 'node:test';
import { createLogger } from '../../src/app/createLogger.ts';
import { runEntry } from '../../src/app/runEntry.ts';
import type { RunningEntry } from '../../src/app/runEntry.ts';
import { loadBundle, loadEntrySettings } from '../../src/state/documents/index.ts';
import { digestJson } from '../../src/state/canonicalJson.ts';
import { FakeFleet } from '../fakes/FakeFleet.ts';
import type { FleetAddresses, FleetPlan } from '../fakes/FakeFleet.ts';
import { runScoped, until } from './scoped.ts';

const KEY = 'test-key';
const DOMAINS = ['fd-a', 'fd-b', 'fd-c'];

/** A platform, endpoints and entries that serve one bundle. */
export interface Deployment {
  readonly key: string;
  readonly fleet: FakeFleet;
  readonly addresses: FleetAddresses;
  readonly entries: readonly RunningEntry[];
}

const bundleOf = ({ engines, services }: FleetAddresses): unknown => ({
  name: 'test',
  version: 1,
  tiers: [{ name: 'urgent', rank: 0, defaultDeadlineMs: 5_000 }],
  accounts: [
    {
      name: 'office',
      tier: 'urgent',
      keyDigest: `sha256:${createHash('sha256').update(KEY).digest('hex')}`,
      requestsPerSecond: 1_000,
      tokensPerSecond: 1_000_000,
      concurrency: 1_000,
    },
  ],
  pools: [
    { name: 'summaries', kind: { _tag: 'model', model: 'summary' }, version: 'v1' },
    { name: 'holds', kind: { _tag: 'service', pathPrefix: '/services/holds' }, version: 'v1' },
  ],
  endpoints: [
    ...engines.map((address, index) => ({
      name: `summaries-${index}`,
      pool: 'summaries',
      version: 'v1',
      address,
      failureDomain: DOMAINS[index % DOMAINS.length],
    })),
    ...services.map((address, index) => ({
      name: `holds-${index}`,
      pool: 'holds',
      version: 'v1',
      address,
      failureDomain: DOMAINS[index % DOMAINS.length],
    })),
  ],
  moves: [],
});

const settingsOf = (index: number, platform: string, seeds: readonly string[]) => ({
  callerAddress: '127.0.0.1:0',
  peerAddress: '127.0.0.1:0',
  failureDomain: DOMAINS[index % DOMAINS.length],
  platform: { address: platform },
  peerSecret: 'a secret of tests only',
  logLevel: 'silent',
  seeds,
});

const startEntry = async (context: TestContext, value: unknown): Promise<RunningEntry> => {
  const loaded = loadEntrySettings(JSON.stringify(value));
  if (loaded._tag === 'invalid') throw new Error(JSON.stringify(loaded.problems));
  return runScoped(context, runEntry(loaded.value, createLogger(loaded.value, 'test')));
};

/**
 * Starts stand-ins and entries in this process, and waits until the entries know each other.
 *
 * @param context - the test that owns them
 * @param plan - the stand-ins
 * @param count - number of entries
 * @returns the deployment
 */
export const startDeployment = async (
  context: TestContext,
  plan: FleetPlan,
  count: number,
): Promise<Deployment> => {
  const fleet = new FakeFleet();
  const addresses = (await fleet.run({ _tag: 'start', plan })) as FleetAddresses;
  context.after(() => fleet.close());
  const bundle = bundleOf(addresses);
  const checked = loadBundle(JSON.stringify(bundle), Date.now());
  if (checked._tag === 'invalid') throw new Error(JSON.stringify(checked.problems));
  const spec = { rollNumber: 1, digest: digestJson(bundle), bundle, operator: 'test', nonce: 'n' };
  await fleet.run({ _tag: 'put', kind: 'rolls', name: 'current', spec });
  const entries: RunningEntry[] = [];
  for (let index = 0; index < count; index += 1) {
    const seeds = entries.map(({ peerAddress }) => peerAddress);
    entries.push(await startEntry(context, settingsOf(index, addresses.platform, seeds)));
  }
  await until(() =>
    entries.every(
      ({ entry }) =>
        entry.replica.current() !== undefined &&
        entry.membership.acceptingMembers().length === count,
    ),
  );
  return { key: KEY, fleet, addresses, entries };
};
