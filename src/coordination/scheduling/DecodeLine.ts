/** Share of the weight of older observations that each new one leaves them. */
const DECAY = 0.96;
/** Weight of the configured decode rate against one observation. */
const PRIOR_WEIGHT = 1;

/** Time per generated token as a line over the number of requests that run, by decaying least squares. */
export class DecodeLine {
  #weight = 0;

  #x = 0;

  #y = 0;

  #xx = 0;

  #xy = 0;

  /**
   * @param msPerToken - first guess, for any number of running requests
   * @param slots - number of running requests that the guess reaches to
   */
  constructor(msPerToken: number, slots: number) {
    this.#accumulate(1, msPerToken, PRIOR_WEIGHT);
    this.#accumulate(slots, msPerToken, PRIOR_WEIGHT);
  }

  /** @returns expected ms per token while that many requests run */
  predict(concurrency: number): number {
    const mean = this.#y / this.#weight;
    const meanX = this.#x / this.#weight;
    const variance = this.#xx / this.#weight - meanX * meanX;
    const covariance = this.#xy / this.#weight - meanX * mean;
    const slope = variance > 0.01 ? Math.max(0, covariance / variance) : 0;
    return Math.max(mean / 4, mean + slope * (concurrency - meanX));
  }

  /** Takes an observation; one far off the line counts as a less extreme one. */
  learn(concurrency: number, msPerToken: number): void {
    const expected = this.predict(concurrency);
    const bounded = Math.max(expected / 4, Math.min(expected * 4, msPerToken));
    this.#weight *= DECAY;
    this.#x *= DECAY;
    this.#y *= DECAY;
    this.#xx *= DECAY;
    this.#xy *= DECAY;
    this.#accumulate(concurrency, bounded, 1);
  }

  #accumulate(x: number, y: number, weight: number): void {
    this.#weight += weight;
    this.#x += x * weight;
    this.#y += y * weight;
    this.#xx += x * x * weight;
    this.#xy += x * y * weight;
  }
}
