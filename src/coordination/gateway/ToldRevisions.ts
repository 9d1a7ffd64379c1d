/** How often those who rely on a watcher are told up to where nothing has changed. */
const UNCHANGED_INTERVAL_MS = 3_000;

/**
 * Up to which revision of the store a watcher has told the others, so that not every watch that saw
 * nothing is told. One for each kind of object.
 */
export class ToldRevisions {
  #told: { readonly revision: number; readonly at: number } | undefined;

  /**
   * Tells what to say after a watch.
   *
   * @param watched - revisions that the watch spans, and whether it brought anything new
   * @param now - present time in ms
   * @returns the revision from which the message spans; undefined where nothing needs to be said
   */
  advance(
    watched: { readonly from: number; readonly to: number; readonly isNews: boolean },
    now: number,
  ): number | undefined {
    const told = this.#told;
    if (told !== undefined && !watched.isNews && now - told.at < UNCHANGED_INTERVAL_MS) {
      return undefined;
    }
    this.#told = { revision: watched.to, at: now };
    // What lies between brought nothing, or it would have been told.
    return Math.min(watched.from, told?.revision ?? watched.from);
  }

  /** Begins anew: revisions were seen otherwise than by watching, or told by another watcher. */
  forget(): void {
    this.#told = undefined;
  }
}
