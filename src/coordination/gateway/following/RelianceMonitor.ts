import { MAXIMUM_LAG_MS, REQUEST_INTERVAL_MS, relianceMs } from './viewTiming.ts';

/** Store revisions up to which a process has received all changes. */
export interface KnownRevisions {
  readonly configuration: number;
  readonly endpoints: number;
}

/** What a peer says of its own view of the store. */
export interface ViewReport {
  /** Store revisions at which a complete view holds all that the peer's view holds. */
  readonly required: KnownRevisions;
  /** When the store had confirmed the peer's view, in ms; `-Infinity` if that isn't known. */
  readonly confirmedAt: number;
}

/**
 * Why a process doesn't rely on its peers: the store has confirmed its view too long ago, or it lacks changes that a
 * peer holds and no peer has sent.
 */
export type RelianceObstacle = 'old' | 'lagging';

const NO_REVISIONS: KnownRevisions = { configuration: 0, endpoints: 0 };

/** Time after which a peer that was asked and didn't help is asked again. */
const ASKED_PEER_REST_MS = 900;

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

  #isOld = false;

  #requestedAt = Number.NEGATIVE_INFINITY;

  /** When the store had confirmed the views of peers, in ms, as they reported last. */
  readonly #confirmedAt = new Map<string, number>();

  /** When peers were asked because the view is old, in ms. */
  readonly #askedAt = new Map<string, number>();

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
  recordReport(from: string, { required, confirmedAt }: ViewReport): void {
    this.#confirmedAt.set(from, confirmedAt);
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
    this.#isOld = view.ageMs > relianceMs(rank);
    if (this.#isOld) return 'old';
    return this.#laggingSince !== undefined && now - this.#laggingSince > MAXIMUM_LAG_MS
      ? 'lagging'
      : undefined;
  }

  /**
   * Returns the peer that is to be asked now for what the view lacks: changes, or a confirmation if the store hasn't
   * given one for long. Call it after `findObstacle`, which tells whether anything is lacking.
   *
   * @param peers - incarnations of the other living members
   * @param now - current time, in ms
   * @returns its incarnation; undefined if there is nothing to ask
   */
  takeRequest(peers: readonly string[], now: number): string | undefined {
    if (now - this.#requestedAt < REQUEST_INTERVAL_MS) return undefined;
    // Changes that are relayed at the same time need not be asked for.
    const isLagging = this.#laggingSince !== undefined && this.#laggingSince !== now;
    // If the view gets old all the same, the reporter hasn't answered.
    const peer = isLagging && !this.#isOld ? this.#reporter : this.#findFreshest(peers, now);
    if (peer !== undefined) this.#requestedAt = now;
    return peer;
  }

  /** Returns the peer whose view was confirmed last, but for those that were asked in vain. */
  #findFreshest(peers: readonly string[], now: number): string | undefined {
    if (!this.#isOld) return undefined;
    const living = new Set(peers);
    [this.#askedAt, this.#confirmedAt].forEach((times) =>
      [...times.keys()].filter((peer) => !living.has(peer)).forEach((peer) => times.delete(peer)),
    );
    const timeOf = (times: ReadonlyMap<string, number>, peer: string): number =>
      times.get(peer) ?? Number.NEGATIVE_INFINITY;
    const [freshest] = peers
      .filter((peer) => now - timeOf(this.#askedAt, peer) > ASKED_PEER_REST_MS)
      .map((peer) => ({ peer, confirmedAt: timeOf(this.#confirmedAt, peer) }))
      .sort((a, b) => (a.confirmedAt === b.confirmedAt ? 0 : b.confirmedAt - a.confirmedAt));
    if (freshest !== undefined) this.#askedAt.set(freshest.peer, now);
    return freshest?.peer;
  }
}
