import { startEngine } from './engine/index.ts';
import type { EngineFaults, EngineOptions, EngineStats, FakeEngine } from './engine/index.ts';
import { startPlatform } from './platform/index.ts';
import type {
  FakePlatform,
  PlatformCounts,
  PlatformFaults,
  PlatformOptions,
} from './platform/index.ts';
import { startService } from './service/index.ts';
import type { FakeService, ServiceFaults, ServiceOptions, ServiceStats } from './service/index.ts';

/** What to start. */
export interface FleetPlan {
  readonly platform?: PlatformOptions;
  readonly engines?: readonly EngineOptions[];
  readonly services?: readonly ServiceOptions[];
}

/** Where the stand-ins listen, in the order of the plan. */
export interface FleetAddresses {
  readonly platform: string;
  readonly engines: readonly string[];
  readonly services: readonly string[];
}

/** What all stand-ins have seen. */
export interface FleetStats {
  readonly platform: PlatformCounts;
  readonly engines: readonly EngineStats[];
  readonly services: readonly ServiceStats[];
}

/** One thing to do with the stand-ins, as data, so that it can come from another process. */
export type FleetCommand =
  | { readonly _tag: 'start'; readonly plan: FleetPlan }
  | { readonly _tag: 'stats' }
  /** How often each request id was dispatched, over all engines and services. */
  | { readonly _tag: 'arrivals'; readonly ids: readonly string[] }
  | { readonly _tag: 'put'; readonly kind: string; readonly name: string; readonly spec: unknown }
  | { readonly _tag: 'remove'; readonly kind: string; readonly name: string }
  | { readonly _tag: 'get'; readonly kind: string; readonly name: string }
  | { readonly _tag: 'platformFaults'; readonly faults: Partial<PlatformFaults> }
  | {
      readonly _tag: 'engineFaults';
      readonly engine: number;
      readonly faults: Partial<EngineFaults>;
    }
  | {
      readonly _tag: 'serviceFaults';
      readonly service: number;
      readonly faults: Partial<ServiceFaults>;
    }
  | { readonly _tag: 'silence'; readonly engine: number }
  /** Every value that an object has had, oldest first. */
  | { readonly _tag: 'history'; readonly kind: string };

/** A platform, engines and services that are started and steered together. */
export class FakeFleet {
  private platform: FakePlatform | undefined;

  private engines: readonly FakeEngine[] = [];

  private services: readonly FakeService[] = [];

  /**
   * Carries out a command.
   *
   * @param command - what to do
   * @returns what it gave, fit for JSON
   */
  async run(command: FleetCommand): Promise<unknown> {
    switch (command._tag) {
      case 'start':
        return this.start(command.plan);
      case 'stats':
        return this.stats();
      case 'arrivals':
        return command.ids.map((id) => this.arrivals(id));
      case 'put':
        return this.platform?.put(command.kind, command.name, command.spec);
      case 'remove':
        return this.platform?.remove(command.kind, command.name);
      case 'get':
        return this.platform?.get(command.kind, command.name);
      case 'platformFaults':
        return this.platform?.setFaults(command.faults);
      case 'engineFaults':
        return this.engines[command.engine]?.setFaults(command.faults);
      case 'serviceFaults':
        return this.services[command.service]?.setFaults(command.faults);
      case 'silence':
        return this.engines[command.engine]?.silenceOpenConnections();
      case 'history':
        return this.platform?.history().filter(({ object }) => object.kind === command.kind);
      default:
        return command satisfies never;
    }
  }

  async close(): Promise<void> {
    const all = [...this.engines, ...this.services, this.platform];
    await Promise.all(all.map((one) => one?.close()));
  }

  private async start(plan: FleetPlan): Promise<FleetAddresses> {
    this.platform = await startPlatform(plan.platform);
    this.engines = await Promise.all((plan.engines ?? []).map((options) => startEngine(options)));
    this.services = await Promise.all(
      (plan.services ?? []).map((options) => startService(options)),
    );
    return {
      platform: this.platform.address,
      engines: this.engines.map(({ address }) => address),
      services: this.services.map(({ address }) => address),
    };
  }

  private stats(): FleetStats | undefined {
    if (this.platform === undefined) return undefined;
    return {
      platform: this.platform.counts(),
      engines: this.engines.map((engine) => engine.stats()),
      services: this.services.map((service) => service.stats()),
    };
  }

  private arrivals(id: string): number {
    return [...this.engines, ...this.services]
      .map((one) => one.arrivals(id))
      .reduce((sum, count) => sum + count, 0);
  }
}
