/** Interval at which a watcher relays its revision while nothing changes. */
const UNCHANGED_RELAY_INTERVAL_MS = 3_000;

/**
 * The store revision that a watcher last relayed to other members, for one kind of object. Watches
 * without changes are combined, so that not each of them is relayed.
 */
export class RelayedRevisions {
  #lastRelayed: { readonly revision: number; readonly at: number } | undefined;

  /**
   * Decides whether the result of a watch is relayed, and from which revision on.
   *
   * @param watched - the revisions that the watch spans, and whether it must be relayed at once
   * @param now - current time, in ms
   * @returns the first revision of the message's span; undefined where nothing is relayed
   */
  planRelay(
    watched: { readonly from: number; readonly to: number; readonly isNews: boolean },
    now: number,
  ): number | undefined {
    const previous = this.#lastRelayed;
    if (
      previous !== undefined &&
      !watched.isNews &&
      now - previous.at < UNCHANGED_RELAY_INTERVAL_MS
    ) {
      return undefined;
    }
    this.#lastRelayed = { revision: watched.to, at: now };
    // The watches since the last relayed revision brought no changes, or they would have been
    // relayed.
    return Math.min(watched.from, previous?.revision ?? watched.from);
  }

  /**
   * Discards the last revision, where revisions came from a list of the store or from another
   * watcher.
   */
  reset(): void {
    this.#lastRelayed = undefined;
  }
}
