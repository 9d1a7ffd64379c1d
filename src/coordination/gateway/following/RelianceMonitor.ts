import { MAXIMUM_LAG_MS, relianceMs } from './viewTiming.ts';

/** Store revisions up to which a process has received all changes. */
export interface KnownRevisions {
  readonly configuration: number;
  readonly endpoints: number;
}

/** What a peer says of its own view of the store. */
export interface ViewReport {
  /** Store revisions at which a complete view holds all that the peer's view holds. */
  readonly required: KnownRevisions;
}

/**
 * Why a process doesn't rely on its peers: the store has confirmed its view too long ago, or it lacks changes that a
 * peer holds and no peer has sent.
 */
export type RelianceObstacle = 'old' | 'lagging';

const NO_REVISIONS: KnownRevisions = { configuration: 0, endpoints: 0 };

/** Interval at which a peer is asked again for changes that are missing here. */
const REQUEST_INTERVAL_MS = 150;

/** Tells whether a view lacks changes up to some revisions. */
export const isBehind = (known: KnownRevisions, required: KnownRevisions): boolean =>
  known.configuration < required.configuration || known.endpoints < required.endpoints;

/**
 * Decides whether a process relies on its peers for the store's changes or calls the store itself, and which peer it
 * asks for changes that it lacks.
 */
export class RelianceMonitor {
  #latest: KnownRevisions = NO_REVISIONS;

  /** The last peer that reported a revision as high as any. */
  #reporter: string | undefined;

  #laggingSince: number | undefined;

  #requestedAt = Number.NEGATIVE_INFINITY;

  /** Highest revisions that any peer has reported. */
  get latestRevisions(): KnownRevisions {
    return this.#latest;
  }

  /**
   * Records what a peer says of its view.
   *
   * @param from - incarnation of the peer
   * @param report - what it says
   */
  recordReport(from: string, { required }: ViewReport): void {
    if (!isBehind(required, this.#latest)) this.#reporter = from;
    this.#latest = {
      configuration: Math.max(this.#latest.configuration, required.configuration),
      endpoints: Math.max(this.#latest.endpoints, required.endpoints),
    };
  }

  /**
   * Returns why this process has to call the store itself.
   *
   * @param view - store revisions and age of the view of this process, in ms
   * @param rank - place of this process among the members of its failure domain; 0 is the watcher
   * @param now - current time, in ms
   * @returns the reason; undefined if this process may rely on its peers
   */
  findObstacle(
    view: { readonly known: KnownRevisions; readonly ageMs: number },
    rank: number,
    now: number,
  ): RelianceObstacle | undefined {
    if (!isBehind(view.known, this.#latest)) this.#laggingSince = undefined;
    else this.#laggingSince ??= now;
    if (view.ageMs > relianceMs(rank)) return 'old';
    return this.#laggingSince !== undefined && now - this.#laggingSince > MAXIMUM_LAG_MS
      ? 'lagging'
      : undefined;
  }

  /**
   * Returns the peer that is to be asked for missing changes now. Call it after `findObstacle`, which tells whether
   * any are missing.
   *
   * @param now - current time, in ms
   * @returns its incarnation; undefined if there is nothing to ask
   */
  takeRequest(now: number): string | undefined {
    // Changes that are relayed at the same time need not be asked for.
    if (this.#laggingSince === undefined || this.#laggingSince === now) return undefined;
    if (now - this.#requestedAt < REQUEST_INTERVAL_MS) return undefined;
    this.#requestedAt = now;
    return this.#reporter;
  }
}
