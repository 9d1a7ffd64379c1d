/** What one that watches the store for others says of itself. */
export interface WatcherSign {
  readonly reached: boolean;
  readonly configurationRevision: number;
  readonly endpointsRevision: number;
}

/** Up to where a process knows the store. */
export interface KnownRevisions {
  readonly configuration: number;
  readonly endpoints: number;
}

/** Silence after which a watcher is no longer relied on; three of its signs of life. */
const SILENCE_MS = 1_300;
/** Time in which changes that a sign of life tells of must have come. */
const CATCH_UP_MS = 700;

/** Whether a process may rely on another one to tell it what changes in the store. */
export class RelayTrust {
  #watcher = '';

  #sign: WatcherSign | undefined;

  #heardAt = Number.NEGATIVE_INFINITY;

  #behindSince: number | undefined;

  /** Takes a sign of life. */
  hear(watcher: string, sign: WatcherSign, now: number): void {
    this.#watcher = watcher;
    this.#sign = sign;
    this.#heardAt = now;
  }

  /**
   * Tells whether to rely on a watcher.
   *
   * @param watcher - the member whose task it is
   * @param known - up to where the store is known here
   * @param now - present time in ms
   * @returns false where the store must be watched here
   */
  mayRely(watcher: string, known: KnownRevisions, now: number): boolean {
    const sign = this.#sign;
    const isHeard = this.#watcher === watcher && now - this.#heardAt <= SILENCE_MS;
    if (sign === undefined || !isHeard || !sign.reached) {
      this.#behindSince = undefined;
      return false;
    }
    const isBehind =
      known.configuration < sign.configurationRevision || known.endpoints < sign.endpointsRevision;
    if (!isBehind) {
      this.#behindSince = undefined;
      return true;
    }
    this.#behindSince ??= now;
    return now - this.#behindSince <= CATCH_UP_MS;
  }
}
