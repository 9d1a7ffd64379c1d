import { readFileSync } from 'node:fs';
import * as Schema from 'effect/Schema';
import { parse } from 'jsonc-parser';
import { Bundle } from '../../src/state/Bundle.ts';
import type { Endpoint } from '../../src/state/Endpoint.ts';
import type { FleetAddresses, FleetPlan } from '../../test/fakes/FakeFleet.ts';
import type { EngineOptions } from '../../test/fakes/engine/index.ts';
import type { WrittenBundle } from './Fleet.ts';

const decodeBundle = Schema.decodeUnknownSync(Bundle);
/** By how much each further run in a stand-in's batch slows the others. */
const DECODE_SLOWDOWN = 0.05;
/** One way between callers' entries and engines, the failure domains' distances averaged. */
const NETWORK_DELAY_MS = 1;
const SERVICE_WORK_MS = 3;

/** Name of a deployment among the examples. */
export type DeploymentName = 'orbitale' | 'snow';

const engineOf = (endpoints: readonly Endpoint[]): EngineOptions => {
  const [first] = endpoints;
  return {
    name: first?.name,
    failureDomain: first?.failureDomain,
    slots: first?.slots,
    prefillTokensPerSecond: first?.prefillTokensPerSecond,
    decodeTokensPerSecond: first?.decodeTokensPerSecond,
    decodeSlowdown: DECODE_SLOWDOWN,
    checksFencing: first?.checksFencing,
    versions: endpoints.filter(({ loadByOrder }) => !loadByOrder).map(({ version }) => version),
    faults: { networkDelayMs: NETWORK_DELAY_MS },
  };
};

/** A deployment of the examples, run by stand-ins on loopback. */
export class Deployment {
  readonly bundle: Bundle;

  readonly written: WrittenBundle;

  /** @param change - changes the bundle as written, such as its accounts or endpoints */
  constructor(
    readonly name: DeploymentName,
    change: (bundle: WrittenBundle) => WrittenBundle = (bundle) => bundle,
  ) {
    const file = new URL(`../../docs/examples/${name}/bundle.jsonc`, import.meta.url);
    this.written = change(parse(readFileSync(file, 'utf8'), [], { allowTrailingComma: true }));
    this.bundle = decodeBundle(this.written);
  }

  get failureDomains(): readonly string[] {
    return [...new Set(this.bundle.endpoints.map(({ failureDomain }) => failureDomain))].sort();
  }

  /** Endpoints that are engines. */
  get runners(): readonly Endpoint[] {
    return this.bundle.endpoints.filter(({ pool }) => this.isModelPool(pool));
  }

  isModelPool(name: string): boolean {
    return this.bundle.pools.some((pool) => pool.name === name && pool.kind._tag === 'model');
  }

  /** Key of an account, as the example bundles document it. */
  keyOf(account: string): string {
    return `demo-${this.name}-${account}`;
  }

  /** One stand-in for each address of the bundle. */
  plan(): FleetPlan {
    return {
      platform: {},
      engines: this.instances(true).map((endpoints) => engineOf(endpoints)),
      services: this.instances(false).map(() => ({
        workMs: SERVICE_WORK_MS,
        networkDelayMs: NETWORK_DELAY_MS,
      })),
    };
  }

  /** The bundle with the stand-ins' addresses in place of the written ones. */
  bundleFor({ engines, services }: FleetAddresses): WrittenBundle {
    const moved = new Map<string, string>();
    this.instances(true).forEach(([endpoint], index) =>
      moved.set(endpoint?.address ?? '', engines[index] ?? ''),
    );
    this.instances(false).forEach(([endpoint], index) =>
      moved.set(endpoint?.address ?? '', services[index] ?? ''),
    );
    const endpoints = this.written.endpoints as readonly { readonly address: string }[];
    return {
      ...this.written,
      endpoints: endpoints.map((endpoint) => ({
        ...endpoint,
        address: moved.get(endpoint.address),
      })),
    };
  }

  /** Index of the stand-in that serves an endpoint. */
  engineIndex(endpoint: string): number {
    return this.instances(true).findIndex((endpoints) =>
      endpoints.some(({ name }) => name === endpoint),
    );
  }

  /** Endpoints grouped by address: several versions may run on one instance. */
  private instances(engines: boolean): readonly (readonly Endpoint[])[] {
    const groups = new Map<string, Endpoint[]>();
    this.bundle.endpoints
      .filter(({ pool }) => this.isModelPool(pool) === engines)
      .forEach((endpoint) => {
        groups.set(endpoint.address, [...(groups.get(endpoint.address) ?? []), endpoint]);
      });
    return [...groups.values()];
  }
}
