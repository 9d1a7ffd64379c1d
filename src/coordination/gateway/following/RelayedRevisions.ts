/** Interval at which a watcher relays its revision while nothing changes. */
const UNCHANGED_RELAY_INTERVAL_MS = 3_000;

/**
 * The store revision that a watcher last relayed to other members, for one kind of object. The
 * results of several watches without changes are combined into one message.
 */
export class RelayedRevisions {
  #last:
    | {
        /** Revision up to which all changes were relayed. */
        readonly relayedTo: number;
        /** Revision up to which this process has watched since, without any change. */
        readonly watchedTo: number;
        readonly relayedAt: number;
      }
    | undefined;

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
    // Revisions between two results that follow from no watch of this process, or from one whose
    // changes were left to another watcher, may hold changes that weren't relayed from here.
    const previous = this.#last?.watchedTo === watched.from ? this.#last : undefined;
    const isRecent =
      previous !== undefined && now - previous.relayedAt < UNCHANGED_RELAY_INTERVAL_MS;
    if (isRecent && !watched.isNews) {
      this.#last = { ...previous, watchedTo: watched.to };
      return undefined;
    }
    this.#last = { relayedTo: watched.to, watchedTo: watched.to, relayedAt: now };
    return previous?.relayedTo ?? watched.from;
  }

  /**
   * Records a watch without changes of a member that relays only changes.
   *
   * @param watched - the revisions that the watch spans
   */
  recordUnchanged({ from, to }: { readonly from: number; readonly to: number }): void {
    const previous = this.#last?.watchedTo === from ? this.#last : undefined;
    const relayedAt = previous?.relayedAt ?? Number.NEGATIVE_INFINITY;
    this.#last = { relayedTo: previous?.relayedTo ?? from, watchedTo: to, relayedAt };
  }

  /**
   * Discards the last relayed revision. It is called after this process got revisions from a list
   * of the store or from another watcher: changes among them weren't relayed from here, so the next span
   * must not include them, and receivers detect the gap.
   */
  reset(): void {
    this.#last = undefined;
  }
}
