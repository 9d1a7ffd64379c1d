/** Failure ratio that is never held against a version, whatever the old one's is. */
const FLOOR_RATIO = 0.01;
const CEILING_RATIO = 0.9;
/** The alternative tested for is this many times the old version's ratio, but at least `BAD_RATIO`. */
const BAD_FACTOR = 4;
const BAD_RATIO = 0.25;
const CEILING_BAD_RATIO = 0.98;
/** Log likelihood ratio at which a version counts as failing. */
const SIGNAL = 8;
/** Weight of the newest request in the old version's ratio. */
const REFERENCE_WEIGHT = 0.02;
/** Weight of the newest request in the ratios of right now. */
const RECENT_WEIGHT = 0.2;
/** Where the old version fails this often beside the new one, something common to both is at fault. */
const COMMON_RATIO = 0.5;

const approach = (mean: number, failed: boolean, weight: number): number =>
  mean + weight * ((failed ? 1 : 0) - mean);

/**
 * Tells whether the new version fails more often than the old one at the same time. A sequential
 * test by likelihood ratio that starts over at zero, so that a long good history doesn't hide a
 * fault that begins late.
 */
export class FailureDetector {
  private reference = 0;

  private recentOld = 0;

  private recentNew = 0;

  private score = 0;

  /** Adds a request of the old version. */
  addOld(failed: boolean): void {
    this.reference = approach(this.reference, failed, REFERENCE_WEIGHT);
    this.recentOld = approach(this.recentOld, failed, RECENT_WEIGHT);
  }

  /** Adds a request of the new version. */
  addNew(failed: boolean): void {
    this.recentNew = approach(this.recentNew, failed, RECENT_WEIGHT);
    const usual = Math.min(CEILING_RATIO, Math.max(FLOOR_RATIO, this.reference));
    const bad = Math.min(CEILING_BAD_RATIO, Math.max(BAD_RATIO, BAD_FACTOR * usual));
    const gain = failed ? Math.log(bad / usual) : Math.log((1 - bad) / (1 - usual));
    this.score = Math.max(0, this.score + gain);
  }

  /** Gives how much speaks against the new version: 0 nothing, 1 and above is a signal. */
  suspicion(): number {
    if (this.recentOld > COMMON_RATIO * this.recentNew) return 0;
    return this.score / SIGNAL;
  }
}
