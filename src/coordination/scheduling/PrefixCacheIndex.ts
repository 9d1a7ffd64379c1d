import type { CacheEvent } from '../../protocol/engine/engineReports.ts';

/** Prompt tokens per prefix hash. */
const TOKENS_PER_PREFIX = 64;
const MAXIMUM_PREFIXES = 8_192;
/** Prefixes are evicted in batches, since finding a set's first item skips over deleted ones. */
const EVICTION_BATCH = 512;
/** Hit ratio assumed before any call has reported its cached tokens. */
const INITIAL_HIT_RATIO = 0.8;
const HIT_RATIO_SMOOTHING = 0.1;

/**
 * Estimated content of an engine's prefix cache, from this scheduler's grants and from the engine's
 * cache events, which arrive late and incompletely. The hit ratio, learned from completed calls,
 * corrects the estimate.
 */
export class PrefixCacheIndex {
  /** Prefix hashes, least recently used first. */
  readonly #prefixes = new Set<string>();

  #hitRatio = INITIAL_HIT_RATIO;

  /**
   * Estimates how much of a prompt is cached.
   *
   * @param prefixes - hashes of the prompt's prefixes, shortest first
   * @param promptTokens - the prompt's length in tokens
   * @returns number of tokens, scaled by the hit ratio
   */
  expectedCachedTokens(prefixes: readonly string[], promptTokens: number): number {
    const tokens = Math.min(promptTokens, this.#countCached(prefixes) * TOKENS_PER_PREFIX);
    return tokens * this.#hitRatio;
  }

  /**
   * Records prefixes as cached, most recently used last.
   *
   * @param prefixes - prefix hashes that the engine computes or has stored
   */
  recordCached(prefixes: readonly string[]): void {
    prefixes.forEach((prefix) => {
      this.#prefixes.delete(prefix);
      this.#prefixes.add(prefix);
    });
    if (this.#prefixes.size >= MAXIMUM_PREFIXES + EVICTION_BATCH) this.#evictOldest();
  }

  #evictOldest(): void {
    const oldest = this.#prefixes.values();
    for (let excess = this.#prefixes.size - MAXIMUM_PREFIXES; excess > 0; excess -= 1) {
      const { value } = oldest.next();
      if (value !== undefined) this.#prefixes.delete(value);
    }
  }

  /**
   * Applies the engine's cache events.
   *
   * @param events - the events, oldest first
   */
  applyCacheEvents(events: readonly CacheEvent[]): void {
    events.forEach(({ operation, prefix }) => {
      switch (operation) {
        case 'stored':
          this.recordCached([prefix]);
          break;
        case 'evicted':
          this.#prefixes.delete(prefix);
          break;
        case 'cleared':
          this.#prefixes.clear();
          break;
        default:
          operation satisfies never;
      }
    });
  }

  /** Counts the cached prefixes by bisection: a prefix is cached only if all shorter ones are. */
  #countCached(prefixes: readonly string[]): number {
    let known = 0;
    let unknown = prefixes.length + 1;
    while (unknown - known > 1) {
      const middle = Math.floor((known + unknown) / 2);
      if (this.#prefixes.has(prefixes[middle - 1] ?? '')) known = middle;
      else unknown = middle;
    }
    return known;
  }

  /**
   * Updates the hit ratio with a completed call. Calls with less than half a prefix expected are
   * ignored.
   *
   * @param expectedTokens - cached tokens that were expected, already scaled by the hit ratio
   * @param reportedTokens - cached tokens that the call reported
   */
  updateHitRatio(expectedTokens: number, reportedTokens: number): void {
    if (expectedTokens < TOKENS_PER_PREFIX / 2) return;
    const ratio = Math.min(1, (reportedTokens / expectedTokens) * this.#hitRatio);
    this.#hitRatio += (ratio - this.#hitRatio) * HIT_RATIO_SMOOTHING;
  }
}
