/** Heartbeat of a member that watches the store for others. */
export interface WatcherHeartbeat {
  /** Whether the store answers the watcher. */
  readonly reached: boolean;
  /** Store revision of the last configuration change that the watcher has seen. */
  readonly configurationRevision: number;
  /** Store revision of the last endpoint change that the watcher has seen. */
  readonly endpointsRevision: number;
  /** Store revisions at which a complete view holds all that the watcher's view holds. */
  readonly completeSince?: KnownRevisions;
  /** Time since the store last confirmed the watcher's view, in ms. */
  readonly confirmedMsAgo?: number;
}

/** Store revisions up to which a process has received all changes. */
export interface KnownRevisions {
  readonly configuration: number;
  readonly endpoints: number;
}

const NO_REVISIONS: KnownRevisions = { configuration: 0, endpoints: 0 };

/** Time without a heartbeat after which a watcher is unreliable; three heartbeat intervals. */
const HEARTBEAT_TIMEOUT_MS = 1_300;
/**
 * Longest time since the store confirmed the watcher's view. It leaves time for a call of this process
 * before a change is 2 s old, and is longer than a watch call and a heartbeat interval together.
 */
const MAXIMUM_CONFIRMATION_AGE_MS = 1_600;
/** Time within which a change that any watcher has seen must be received. */
const MAXIMUM_LAG_MS = 400;

/** Why a process doesn't rely on a store watcher, in the order in which the reasons are looked at. */
export type RelianceObstacle =
  'watcherSilent' | 'watcherUnreached' | 'watcherUnconfirmed' | 'lagging' | 'incomplete';

/** Tells whether a view lacks changes up to some revisions. */
export const isBehind = (known: KnownRevisions, required: KnownRevisions): boolean =>
  known.configuration < required.configuration || known.endpoints < required.endpoints;

/**
 * Decides whether a process may rely on a store watcher for the store's changes. The watchers of
 * all failure domains report the revisions that they have seen, so that a watcher that is
 * partitioned from the store without noticing it is detected.
 */
export class StoreWatcherMonitor {
  #lastHeartbeatFrom = '';

  #reachesStore = false;

  #lastHeartbeatAt = Number.NEGATIVE_INFINITY;

  /** When the store last confirmed the watcher's view, in ms. */
  #confirmedAt = Number.NEGATIVE_INFINITY;

  #latestRevisions: KnownRevisions = NO_REVISIONS;

  #laggingSince: number | undefined;

  /** Store revisions that this process needs to hold all that its watcher holds. */
  #requiredRevisions: KnownRevisions = NO_REVISIONS;

  /** Highest revisions of changes that any watcher has reported. */
  get latestRevisions(): KnownRevisions {
    return this.#latestRevisions;
  }

  /**
   * Records the heartbeat of any watcher.
   *
   * @param from - incarnation of the watcher that sent it
   * @param watcher - incarnation of the watcher that this process relies on
   * @param heartbeat - the heartbeat's contents
   * @param now - current time, in ms
   */
  recordHeartbeat(from: string, watcher: string, heartbeat: WatcherHeartbeat, now: number): void {
    const { configuration, endpoints } = this.#latestRevisions;
    this.#latestRevisions = {
      configuration: Math.max(configuration, heartbeat.configurationRevision),
      endpoints: Math.max(endpoints, heartbeat.endpointsRevision),
    };
    if (from !== watcher) return;
    this.#lastHeartbeatFrom = from;
    this.#reachesStore = heartbeat.reached;
    this.#requiredRevisions = heartbeat.completeSince ?? NO_REVISIONS;
    this.#lastHeartbeatAt = now;
    this.#confirmedAt = now - (heartbeat.confirmedMsAgo ?? 0);
  }

  /**
   * Whether this process may rely on a watcher.
   *
   * @param watcher - incarnation of the member that is assigned as watcher
   * @param known - store revisions that this process has received
   * @param now - current time, in ms
   * @returns false if the watcher is silent, can't reach the store or lags, or if this process lacks
   *   changes that the watcher has, so that it must watch the store itself
   */
  isReliable(watcher: string, known: KnownRevisions, now: number): boolean {
    return this.findObstacle(watcher, known, now) === undefined;
  }

  /**
   * Returns why this process can't rely on a watcher.
   *
   * @param watcher - incarnation of the member that is assigned as watcher
   * @param known - store revisions that this process has received
   * @param now - current time, in ms
   * @returns the reason; undefined if this process may rely on the watcher
   */
  findObstacle(watcher: string, known: KnownRevisions, now: number): RelianceObstacle | undefined {
    if (!isBehind(known, this.#latestRevisions)) this.#laggingSince = undefined;
    else this.#laggingSince ??= now;
    const isStale = this.#laggingSince !== undefined && now - this.#laggingSince > MAXIMUM_LAG_MS;
    const isAlive =
      this.#lastHeartbeatFrom === watcher && now - this.#lastHeartbeatAt <= HEARTBEAT_TIMEOUT_MS;
    if (!isAlive) return 'watcherSilent';
    if (!this.#reachesStore) return 'watcherUnreached';
    if (now - this.#confirmedAt > MAXIMUM_CONFIRMATION_AGE_MS) return 'watcherUnconfirmed';
    if (isStale) return 'lagging';
    // Relayed changes arrive before the heartbeat that follows them, so what is missing was lost.
    return isBehind(known, this.#requiredRevisions) ? 'incomplete' : undefined;
  }
}
