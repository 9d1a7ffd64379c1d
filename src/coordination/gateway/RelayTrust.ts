/** What one that watches the store for others says of itself. */
export interface WatcherSign {
  readonly reached: boolean;
  /** Store revisions of the last changes that it has seen. */
  readonly configurationRevision: number;
  readonly endpointsRevision: number;
}

/** Up to which revision a process knows the store. */
export interface KnownRevisions {
  readonly configuration: number;
  readonly endpoints: number;
}

/** Silence after which a watcher is no longer relied on; three of its signs of life. */
const HEARTBEAT_TIMEOUT_MS = 1_300;
/** Time in which a change that any watcher has seen must have come. */
const CATCH_UP_MS = 400;

/**
 * Whether a process may rely on another one to tell it what changes in the store. The watchers of all
 * failure domains say how far they see, so that one that is cut off without knowing it is found out.
 */
export class RelayTrust {
  #watcher = '';

  #reached = false;

  #heardAt = Number.NEGATIVE_INFINITY;

  #changed: KnownRevisions = { configuration: 0, endpoints: 0 };

  #behindSince: number | undefined;

  /**
   * Takes a sign of life.
   *
   * @param from - the watcher that gave it
   * @param watcher - the one that is relied on here
   * @param sign - what it says
   * @param now - present time in ms
   */
  hear(from: string, watcher: string, sign: WatcherSign, now: number): void {
    const { configuration, endpoints } = this.#changed;
    this.#changed = {
      configuration: Math.max(configuration, sign.configurationRevision),
      endpoints: Math.max(endpoints, sign.endpointsRevision),
    };
    if (from !== watcher) return;
    this.#watcher = from;
    this.#reached = sign.reached;
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
    const isBehind =
      known.configuration < this.#changed.configuration ||
      known.endpoints < this.#changed.endpoints;
    if (!isBehind) this.#behindSince = undefined;
    else this.#behindSince ??= now;
    const isLeftBehind = this.#behindSince !== undefined && now - this.#behindSince > CATCH_UP_MS;
    const isHeard = this.#watcher === watcher && now - this.#heardAt <= HEARTBEAT_TIMEOUT_MS;
    return isHeard && this.#reached && !isLeftBehind;
  }
}
