/** Bounds of the reference failure ratio; the lower one tolerates rare failures of a new version. */
const REFERENCE_RATIO = { minimum: 0.01, maximum: 0.9 } as const;
/** Weight of the latest response in the reference ratio. */
const REFERENCE_WEIGHT = 0.02;
/**
 * Failure ratios that are tested for, as a multiple of the reference and at least so many. The lower one finds a
 * version that fails only under load, in some more responses.
 */
const ALTERNATIVES = [
  { minimum: 0.06, factor: 3 },
  { minimum: 0.25, factor: 6 },
] as const;
const MAXIMUM_ALTERNATIVE = 0.98;
/** Log-likelihood ratio at which a version counts as failing; docs/design/roll-outs.md has the error rates. */
const SIGNAL_LOG_RATIO = 8;

/**
 * Tests whether the new version fails more often than the old one at the same moments, by likelihood ratios that
 * never fall below zero, so that a long history of successes doesn't delay the finding of a fault that begins late.
 */
export class FailureTest {
  #reference = 0;

  readonly #sums: number[] = ALTERNATIVES.map(() => 0);

  /** Adds a response of the old version. */
  addOld(failed: boolean): void {
    this.#reference += REFERENCE_WEIGHT * (Number(failed) - this.#reference);
  }

  /** Adds a response of the new version. */
  addNew(failed: boolean): void {
    const { minimum, maximum } = REFERENCE_RATIO;
    const reference = Math.min(maximum, Math.max(minimum, this.#reference));
    ALTERNATIVES.forEach((alternative, index) => {
      const ratio = Math.min(
        MAXIMUM_ALTERNATIVE,
        Math.max(alternative.minimum, alternative.factor * reference),
      );
      const change = failed ? Math.log(ratio / reference) : Math.log((1 - ratio) / (1 - reference));
      this.#sums[index] = Math.max(0, (this.#sums[index] ?? 0) + change);
    });
  }

  /** Suspicion against the new version: 0 for none, 1 and above for a fault. */
  get suspicion(): number {
    return Math.max(...this.#sums) / SIGNAL_LOG_RATIO;
  }
}
