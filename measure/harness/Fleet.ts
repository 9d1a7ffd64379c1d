import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { digestJson } from '../../src/state/canonicalJson.ts';
import type { FleetPlan } from '../../test/fakes/FakeFleet.ts';
import { sleep } from '../../test/fakes/listen.ts';
import type { Deployment } from './Deployment.ts';
import { EntryProcess } from './EntryProcess.ts';
import type { LogLine } from './EntryProcess.ts';
import { StandIns } from './StandIns.ts';

const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 50;
const STARTS_AT_ONCE = 9;

/** How to start entries and what they talk to. */
export interface FleetOptions {
  readonly deployment: Deployment;
  readonly entries: number;
  readonly policy?: object;
  readonly timing?: object;
  readonly limits?: object;
  readonly logLevel?: string;
  /** Changes the stand-ins' plan. */
  readonly plan?: (plan: FleetPlan) => FleetPlan;
  /** Whether the first bundle is rolled before the entries start. */
  readonly rolled?: boolean;
}

/** A bundle as written, addresses of the stand-ins filled in. */
export type WrittenBundle = Record<string, unknown> & { readonly version: number };

/** Entry processes, the stand-ins around them and the folder for their logs. */
export class Fleet {
  private constructor(
    private readonly folder: string,
    readonly options: FleetOptions,
    readonly standIns: StandIns,
    readonly bundle: WrittenBundle,
    readonly entries: EntryProcess[],
  ) {}

  static async start(options: FleetOptions): Promise<Fleet> {
    const folder = mkdtempSync(join(tmpdir(), 'corianderwick-'));
    const plan = options.deployment.plan();
    const standIns = await StandIns.start(options.plan?.(plan) ?? plan);
    const bundle = options.deployment.bundleFor(standIns.addresses);
    const fleet = new Fleet(folder, options, standIns, bundle, []);
    try {
      if (options.rolled !== false) await fleet.roll(bundle, 1);
      await fleet.addEntries(options.entries);
      if (options.rolled !== false) await fleet.awaitReady();
    } catch (error) {
      await fleet.stop();
      throw error;
    }
    return fleet;
  }

  get seeds(): readonly string[] {
    return this.entries.filter(({ running }) => running).map((entry) => entry.callerAddress);
  }

  /** Rolls a bundle past the operators' commands. */
  async roll(bundle: WrittenBundle, rollNumber: number): Promise<void> {
    const roll = {
      rollNumber,
      digest: digestJson(bundle),
      bundle,
      operator: 'measure',
      nonce: `roll-${rollNumber}`,
    };
    await this.standIns.command({ _tag: 'put', kind: 'rolls', name: 'current', spec: roll });
  }

  async addEntries(count: number): Promise<readonly EntryProcess[]> {
    const first = this.entries.length;
    const added: EntryProcess[] = [];
    const indexes = Array.from({ length: count }, (_, index) => first + index);
    while (indexes.length > 0) {
      // The first one starts alone, so that the others have a peer to begin with.
      const together = indexes.splice(0, this.entries.length === 0 ? 1 : STARTS_AT_ONCE);
      const started = await Promise.all(together.map((index) => this.startEntry(index)));
      this.entries.push(...started);
      added.push(...started);
    }
    return added;
  }

  /** Waits until all running entries are ready and see each other. */
  async awaitReady(): Promise<void> {
    const running = this.entries.filter((entry) => entry.running);
    const deadline = performance.now() + READY_TIMEOUT_MS;
    const settled = async () => {
      const ready = await Promise.all(running.map((entry) => entry.ready()));
      if (!ready.every(Boolean)) return false;
      const counts = await Promise.all(
        running.map((entry) => entry.metric('corianderwick_members')),
      );
      return counts.every((count) => count >= running.length);
    };
    while (!(await settled())) {
      if (performance.now() > deadline) throw new Error('the entries did not become ready');
      await sleep(POLL_MS);
    }
  }

  log(): readonly LogLine[] {
    return this.entries.flatMap((entry) => entry.log()).sort((a, b) => a.time - b.time);
  }

  async stop(): Promise<void> {
    await Promise.all(this.entries.map((entry) => entry.stop()));
    await this.standIns.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private async startEntry(index: number): Promise<EntryProcess> {
    const { deployment, policy = {}, timing = {}, limits = {}, logLevel = 'info' } = this.options;
    const domains = deployment.failureDomains;
    const name = `entry-${index + 1}`;
    const entry = await EntryProcess.start(name, this.folder, {
      callerAddress: '127.0.0.1:0',
      peerAddress: '127.0.0.1:0',
      failureDomain: domains[index % domains.length],
      platform: { address: this.standIns.addresses.platform },
      peerSecret: 'a secret of this measurement only',
      seeds: this.entries.slice(0, 2).map(({ peerAddress }) => peerAddress),
      logLevel,
      policy,
      timing,
      limits,
    });
    const spec = { name, role: 'entry', address: entry.peerAddress, state: 'live' };
    await this.standIns.command({ _tag: 'put', kind: 'instances', name, spec });
    return entry;
  }
}
