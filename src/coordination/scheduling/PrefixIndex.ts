import type { CacheEvent } from '../../protocol/engine/LoadReport.ts';

/** Prompt tokens that one prefix hash stands for. */
const TOKENS_PER_PREFIX = 64;
const MAXIMUM_PREFIXES = 8_192;
/** Old prefixes are dropped so many at a time: finding the first of a set passes over dropped ones. */
const EVICTION_BATCH = 512;
/** What is believed of the cache before any call has shown it. */
const FIRST_TRUST = 0.8;
const TRUST_GAIN = 0.1;

/**
 * What an engine's prefix cache probably holds. Own grants and the engine's late, gappy events are
 * hints; completed calls show how far to trust them.
 */
export class PrefixIndex {
  /** Least recently used first. */
  readonly #prefixes = new Set<string>();

  #trust = FIRST_TRUST;

  /**
   * Expects how much of a prompt is cached.
   *
   * @param prefixes - hashes of its growing prefixes, shortest first
   * @param promptTokens - the prompt's length
   * @returns tokens, weighed by how often the hints came true
   */
  expectedCachedTokens(prefixes: readonly string[], promptTokens: number): number {
    const tokens = Math.min(promptTokens, this.#knownCount(prefixes) * TOKENS_PER_PREFIX);
    return tokens * this.#trust;
  }

  /** Notes prefixes that the engine computes now. */
  add(prefixes: readonly string[]): void {
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

  /** Takes the engine's own account of changes. */
  applyCacheEvents(events: readonly CacheEvent[]): void {
    events.forEach(({ operation, prefix }) => {
      switch (operation) {
        case 'stored':
          this.add([prefix]);
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

  /** Counts the cached prefixes by bisection: a longer one is cached only after the shorter ones. */
  #knownCount(prefixes: readonly string[]): number {
    let known = 0;
    let unknown = prefixes.length + 1;
    while (unknown - known > 1) {
      const middle = Math.floor((known + unknown) / 2);
      if (this.#prefixes.has(prefixes[middle - 1] ?? '')) known = middle;
      else unknown = middle;
    }
    return known;
  }

  /** Compares what was expected of the cache with what a call found. */
  learn(expectedTokens: number, foundTokens: number): void {
    if (expectedTokens < TOKENS_PER_PREFIX / 2) return;
    const ratio = Math.min(1, (foundTokens / expectedTokens) * this.#trust);
    this.#trust += (ratio - this.#trust) * TRUST_GAIN;
  }
}
