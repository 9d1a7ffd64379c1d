import type { ViewSummary } from './ViewDigest.ts';

/**
 * Difference in the number of members up to which views are left to the updates on probes, which spread a few records
 * in less traffic than a comparison takes.
 */
const FEW_MEMBERS = 5;
/** Time for which a small difference may last; updates reach most members in less. */
const SMALL_DIFFERENCE_MS = 500;
/** Shortest time between two comparisons that this process starts. */
const INTERVAL_MS = 100;
/** Members in a row that have the same view, after which updates about live members need not be spread any more. */
const AGREEMENTS = 3;

/** Decides when a process compares its view of the members with that of another one. */
export class ReconciliationTimer {
  #differentSince: number | undefined;

  #startedAt = Number.NEGATIVE_INFINITY;

  /** Whether the last comparison brought news, so that the next one is due without waiting for a probe. */
  #isCatchingUp = false;

  #agreements = 0;

  #isFar = false;

  /** Whether a comparison is needed, so that updates on probes would only repeat what it brings. */
  get isFar(): boolean {
    return this.#isFar;
  }

  /** Whether the last members that told of their views had the same one. */
  get isAgreed(): boolean {
    return this.#agreements >= AGREEMENTS;
  }

  /** Records a member that doesn't tell of its view. */
  recordSilence(): void {
    this.#agreements = 0;
    this.#isFar = false;
  }

  /**
   * Decides whether to compare views with a member that has told of its view.
   *
   * @param own - summary of the view of this process
   * @param theirs - that of the member
   * @param now - current time in ms
   * @returns whether a comparison starts now
   */
  observe(own: ViewSummary, theirs: ViewSummary, now: number): boolean {
    if (own.hash === theirs.hash && own.members === theirs.members) {
      this.#differentSince = undefined;
      this.#isFar = false;
      this.#agreements += 1;
      return false;
    }
    this.#agreements = 0;
    this.#differentSince ??= now;
    this.#isFar = Math.abs(own.members - theirs.members) > FEW_MEMBERS;
    const isDue = this.#isFar || now - this.#differentSince >= SMALL_DIFFERENCE_MS;
    return isDue && this.#start(now);
  }

  /**
   * Decides whether to compare views with a member chosen at random.
   *
   * @param now - current time in ms
   * @returns whether a comparison starts now
   */
  takeCatchUp(now: number): boolean {
    return this.#isCatchingUp && this.#start(now);
  }

  /**
   * Records what a comparison brought.
   *
   * @param records - number of records that were news here
   */
  recordNews(records: number): void {
    this.#isCatchingUp = records > 0;
  }

  #start(now: number): boolean {
    if (now - this.#startedAt < INTERVAL_MS) return false;
    this.#startedAt = now;
    this.#isCatchingUp = false;
    if (this.#differentSince !== undefined) this.#differentSince = now;
    return true;
  }
}
