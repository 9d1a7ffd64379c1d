import type { VersionState } from '../../../src/protocol/engine/EngineOrder.ts';
import type { VersionFault } from './EngineFaults.ts';
import type { VersionStats } from './EngineStats.ts';

/** Versions of an engine: what is loaded, what they have seen and how they misbehave. */
export class VersionTable {
  readonly stats: Record<string, VersionStats> = {};

  private readonly states = new Map<string, VersionState['state']>();

  constructor(
    ready: readonly string[],
    private readonly loadMs: number,
    private readonly faultOf: (version: string) => VersionFault | undefined,
  ) {
    ready.forEach((version) => this.states.set(version, 'ready'));
  }

  list(): readonly VersionState[] {
    return [...this.states].map(([version, state]) => ({ version, state }));
  }

  ready(version: string): boolean {
    return this.states.get(version) === 'ready';
  }

  load(version: string): void {
    if (this.states.has(version)) return;
    this.states.set(version, 'loading');
    setTimeout(() => {
      const crashes = this.faultOf(version)?.kind === 'crash_on_load';
      if (this.states.has(version)) this.states.set(version, crashes ? 'failed' : 'ready');
    }, this.loadMs).unref();
  }

  unload(version: string): void {
    this.states.delete(version);
  }

  noteFault(version: string): void {
    const stats = this.statsOf(version);
    stats.faults += 1;
    stats.firstFaultAt ||= Date.now();
  }

  statsOf(version: string): VersionStats {
    this.stats[version] ??= {
      requests: 0,
      faults: 0,
      firstRequestAt: 0,
      lastRequestAt: 0,
      firstFaultAt: 0,
    };
    return this.stats[version];
  }
}
