/** Largest step that one observation may make, as a logarithm of the ratio. */
const MAXIMUM_STEP = 1.5;
const LEAST_GAIN = 0.12;

/** A mean of logarithms that learns fast at first and then limits what one outlier can do. */
export class RunningLogMean {
  #value = 0;

  #count = 0;

  /** @returns the mean */
  get value(): number {
    return this.#value;
  }

  /** Moves the mean towards an observation of a weight from 0 to 1. */
  observe(logRatio: number, weight: number): void {
    this.#count += weight;
    const step = Math.max(-MAXIMUM_STEP, Math.min(MAXIMUM_STEP, logRatio - this.#value));
    this.#value += step * Math.max(LEAST_GAIN, 1 / (this.#count + 1)) * weight;
  }
}
