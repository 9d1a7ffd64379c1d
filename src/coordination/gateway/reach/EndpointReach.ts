import type { EndpointRecord } from '../../../state/gateway/index.ts';

/** What a check of this gateway's connections changed. */
export type ReachChange = 'none' | 'isolated' | 'regained';

/** Time without a byte from any endpoint after which the connections are checked. */
export const SILENCE_MS = 500;
/** Minimum interval between checks for silence, as endpoints may just take their time. */
const SILENCE_CHECK_INTERVAL_MS = 1_000;
/** Interval of the checks while no endpoint is reached, and of those that confirm that some are again. */
const ISOLATED_CHECK_INTERVAL_MS = 300;
const CONFIRMATION_INTERVAL_MS = 100;
/** Checks in a row that must find an endpoint before this gateway sends requests itself again. */
const CONFIRMATIONS = 2;
const MAXIMUM_CONFIRMATIONS = 8;
/** Connections are trusted more slowly if they were lost within this time before. */
const RELAPSE_MS = 10_000;
/** Endpoints to which a check opens connections. */
const CHECKED_ENDPOINTS = 2;

/**
 * Whether this gateway reaches endpoints at all. One that refuses a connection may be down by itself; only
 * if others can't be reached either, the fault is on this gateway's side.
 */
export class EndpointReach {
  #isolatedSince: number | undefined;

  #regainedAt = Number.NEGATIVE_INFINITY;

  #heardAt = Number.NEGATIVE_INFINITY;

  #checkedAt = Number.NEGATIVE_INFINITY;

  /** Checks in a row that found an endpoint while this gateway is isolated. */
  #confirmations = 0;

  #neededConfirmations = CONFIRMATIONS;

  /** Moves on with each check, so that checks go round. */
  #nextTarget = 0;

  /** Whether no endpoint is reached. */
  get isIsolated(): boolean {
    return this.#isolatedSince !== undefined;
  }

  /** Since when no endpoint is reached, in ms; undefined if some are. */
  get isolatedSince(): number | undefined {
    return this.#isolatedSince;
  }

  /** Records that bytes arrived from an endpoint. */
  recordBytes(now: number): void {
    this.#heardAt = now;
  }

  /**
   * Whether nothing has arrived from any endpoint for so long that the connections are worth a check.
   *
   * @param now - present time in ms, monotonic
   */
  isSilent(now: number): boolean {
    return (
      !this.isIsolated &&
      now - this.#heardAt > SILENCE_MS &&
      now - this.#checkedAt > SILENCE_CHECK_INTERVAL_MS
    );
  }

  /**
   * Whether it is time to look if endpoints are reached again.
   *
   * @param now - present time in ms, monotonic
   */
  isRecheckDue(now: number): boolean {
    const interval =
      this.#confirmations > 0 ? CONFIRMATION_INTERVAL_MS : ISOLATED_CHECK_INTERVAL_MS;
    return this.isIsolated && now - this.#checkedAt >= interval;
  }

  /**
   * Selects the endpoints of a check, of different failure domains where there are any.
   *
   * @param records - all endpoints that are ready
   * @param suspect - id of the endpoint that gave rise to the check; left out unless it is the only one
   * @returns the endpoints to connect to
   */
  selectTargets(
    records: readonly EndpointRecord[],
    suspect: string | undefined,
  ): readonly EndpointRecord[] {
    const others = records.filter(({ id }) => id !== suspect);
    const candidates = others.length > 0 ? others : records;
    const start = candidates.length === 0 ? 0 : this.#nextTarget % candidates.length;
    this.#nextTarget += CHECKED_ENDPOINTS;
    const turned = [...candidates.slice(start), ...candidates.slice(0, start)];
    const [first] = turned;
    const elsewhere = turned.filter(({ failureDomain }) => failureDomain !== first?.failureDomain);
    return [...turned.slice(0, 1), ...elsewhere, ...turned.slice(1)]
      .filter((record, index, all) => all.indexOf(record) === index)
      .slice(0, CHECKED_ENDPOINTS);
  }

  /**
   * Records the outcome of a check.
   *
   * @param isReached - whether any endpoint accepted a connection
   * @param now - present time in ms, monotonic
   * @returns whether this gateway became isolated, or reaches endpoints again
   */
  recordCheck(isReached: boolean, now: number): ReachChange {
    this.#checkedAt = now;
    if (this.#isolatedSince === undefined) {
      if (isReached) return 'none';
      const isRelapse = now - this.#regainedAt < RELAPSE_MS;
      this.#neededConfirmations = isRelapse
        ? Math.min(MAXIMUM_CONFIRMATIONS, 2 * this.#neededConfirmations)
        : CONFIRMATIONS;
      this.#confirmations = 0;
      this.#isolatedSince = now;
      return 'isolated';
    }
    this.#confirmations = isReached ? this.#confirmations + 1 : 0;
    if (this.#confirmations < this.#neededConfirmations) return 'none';
    this.#isolatedSince = undefined;
    this.#regainedAt = now;
    return 'regained';
  }
}
