import type { CacheEvent } from '../../../src/protocol/engine/engineReports.ts';

const KEPT_EVENTS = 5_000;
const HASH_MULTIPLIER = 2_654_435_761;
const HASH_RANGE = 2 ** 32;

/** Tokens that one prefix hash stands for. */
export const BLOCK_TOKENS = 64;

/** A prefix cache of limited size that drops what was used longest ago, with its late and gappy events. */
export class PrefixCache {
  private readonly blocks = new Set<string>();

  private events: { readonly at: number; readonly event: CacheEvent }[] = [];

  private sequence = 0;

  constructor(private readonly maximumBlocks: number) {}

  /** Share of the cache in use. */
  get used(): number {
    return this.maximumBlocks === 0 ? 0 : this.blocks.size / this.maximumBlocks;
  }

  /** Tokens of the prompt that need no prefill. */
  cachedTokens(prefixes: readonly string[]): number {
    const miss = prefixes.findIndex((prefix) => !this.blocks.has(prefix));
    return (miss === -1 ? prefixes.length : miss) * BLOCK_TOKENS;
  }

  store(prefixes: readonly string[], now: number): void {
    prefixes.forEach((prefix) => {
      if (!this.blocks.delete(prefix)) this.record('stored', prefix, now);
      this.blocks.add(prefix);
    });
    while (this.blocks.size > this.maximumBlocks) {
      const [oldest = ''] = this.blocks;
      this.blocks.delete(oldest);
      this.record('evicted', oldest, now);
    }
  }

  /** Events after a sequence number that are old enough to show. */
  eventsAfter(sequence: number, now: number, lagMs: number, gapShare: number): CacheEvent[] {
    return this.events
      .filter(({ at, event }) => event.sequence > sequence && at <= now - lagMs)
      .map(({ event }) => event)
      .filter(
        (event) => ((event.sequence * HASH_MULTIPLIER) % HASH_RANGE) / HASH_RANGE >= gapShare,
      );
  }

  private record(operation: CacheEvent['operation'], prefix: string, now: number): void {
    this.sequence += 1;
    this.events.push({ at: now, event: { sequence: this.sequence, operation, prefix } });
    if (this.events.length > KEPT_EVENTS * 2) this.events = this.events.slice(-KEPT_EVENTS);
  }
}
