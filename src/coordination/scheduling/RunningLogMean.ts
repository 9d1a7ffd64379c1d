/**
 * Largest distance from the mean at which an observation counts in full, as a natural logarithm.
 */
const MAXIMUM_STEP = 1.5;
const MINIMUM_GAIN = 0.12;

/**
 * Running mean of natural logarithms. Its gain falls from 1 to a minimum as observations arrive,
 * and the distance of each observation from the mean is bounded, so that one outlier has little
 * effect.
 */
export class RunningLogMean {
  #value = 0;

  #totalWeight = 0;

  /** @returns the mean, a natural logarithm; 0 before the first observation */
  get value(): number {
    return this.#value;
  }

  /**
   * Adds an observation.
   *
   * @param logRatio - the observation, a natural logarithm
   * @param weight - its weight, 0 to 1
   */
  observe(logRatio: number, weight: number): void {
    this.#totalWeight += weight;
    const step = Math.max(-MAXIMUM_STEP, Math.min(MAXIMUM_STEP, logRatio - this.#value));
    this.#value += step * Math.max(MINIMUM_GAIN, 1 / (this.#totalWeight + 1)) * weight;
  }
}
