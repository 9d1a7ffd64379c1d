/** Interval at which a watcher relays its revision while nothing changes. */
const UNCHANGED_RELAY_INTERVAL_MS = 3_000;

/**
 * The store revision that a watcher last relayed to other members, for one kind of object. The
 * results of several watches without changes are combined into one message.
 */
export class RelayedRevisions {
  #lastRelayed: { readonly revision: number; readonly at: number } | undefined;

  /**
   * Decides whether the result of a watch is relayed, and from which revision on.
   *
   * @param watched - the revisions that the watch spans, and whether
   *   they bring changes or follow an outage (`isNews`) and must therefore be relayed at once
   * @param now - current time, in ms
   * @returns the first revision of the message's span; undefined if nothing is relayed
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
    // Every change is relayed at once, so the revisions since the last relayed one hold no changes
    // and the span may include them.
    return Math.min(watched.from, previous?.revision ?? watched.from);
  }

  /**
   * Discards the last relayed revision. It is called after this process got revisions from a list
   * of the store or from another watcher: changes among them weren't relayed from here, so the next span
   * must not include them, and receivers detect the gap.
   */
  reset(): void {
    this.#lastRelayed = undefined;
  }
}
