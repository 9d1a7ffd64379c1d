/** Bounds of the reference failure ratio; the lower one tolerates rare failures of a new version. */
const MINIMUM_REFERENCE_RATIO = 0.01;
const MAXIMUM_REFERENCE_RATIO = 0.9;
/** Failure ratio of the tested alternative, as a multiple of the reference, within the bounds below. */
const FAILING_FACTOR = 4;
const MINIMUM_FAILING_RATIO = 0.25;
const MAXIMUM_FAILING_RATIO = 0.98;
/** Log-likelihood ratio at which a version counts as failing. */
const SIGNAL_LOG_LIKELIHOOD = 8;
/** Weight of the latest request in the reference ratio of the old version. */
const REFERENCE_WEIGHT = 0.02;
/** Weight of the latest request in the recent ratios of both versions. */
const RECENT_WEIGHT = 0.2;
/** Fraction of the new version's recent ratio; if the old one's exceeds it, the fault is taken as shared. */
const SHARED_FAULT_RATIO = 0.5;

const updateRatio = (ratio: number, failed: boolean, weight: number): number =>
  ratio + weight * ((failed ? 1 : 0) - ratio);

/**
 * Detects that the new version fails more often than the old one does at the same time. It is a
 * sequential likelihood-ratio test whose sum never falls below zero, so that a long history of
 * successes doesn't delay the detection of a fault that starts late.
 */
export class FailureDetector {
  private referenceRatio = 0;

  private recentOldRatio = 0;

  private recentNewRatio = 0;

  private logLikelihoodRatio = 0;

  /**
   * Adds a request of the old version.
   *
   * @param failed - whether the request failed
   */
  addOld(failed: boolean): void {
    this.referenceRatio = updateRatio(this.referenceRatio, failed, REFERENCE_WEIGHT);
    this.recentOldRatio = updateRatio(this.recentOldRatio, failed, RECENT_WEIGHT);
  }

  /**
   * Adds a request of the new version.
   *
   * @param failed - whether the request failed
   */
  addNew(failed: boolean): void {
    this.recentNewRatio = updateRatio(this.recentNewRatio, failed, RECENT_WEIGHT);
    const reference = Math.min(
      MAXIMUM_REFERENCE_RATIO,
      Math.max(MINIMUM_REFERENCE_RATIO, this.referenceRatio),
    );
    const failing = Math.min(
      MAXIMUM_FAILING_RATIO,
      Math.max(MINIMUM_FAILING_RATIO, FAILING_FACTOR * reference),
    );
    const increment = failed
      ? Math.log(failing / reference)
      : Math.log((1 - failing) / (1 - reference));
    this.logLikelihoodRatio = Math.max(0, this.logLikelihoodRatio + increment);
  }

  /** @returns the suspicion against the new version: 0 for none, 1 and above for a detected fault */
  suspicion(): number {
    if (this.recentOldRatio > SHARED_FAULT_RATIO * this.recentNewRatio) return 0;
    return this.logLikelihoodRatio / SIGNAL_LOG_LIKELIHOOD;
  }
}
