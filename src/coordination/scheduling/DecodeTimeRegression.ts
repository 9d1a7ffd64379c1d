/** Share of the weight of older observations that each new one leaves them. */
const SAMPLE_DECAY = 0.96;
/** Weight of the configured decode rate against one observation. */
const PRIOR_WEIGHT = 1;

/** Time per generated token as a line over the number of requests that run, by decaying least squares. */
export class DecodeTimeRegression {
  #sumWeight = 0;

  #sumX = 0;

  #sumY = 0;

  #sumXX = 0;

  #sumXY = 0;

  /**
   * @param msPerToken - first guess, for any number of running requests
   * @param slots - number of running requests that the guess reaches to
   */
  constructor(msPerToken: number, slots: number) {
    this.#addSample(1, msPerToken, PRIOR_WEIGHT);
    this.#addSample(slots, msPerToken, PRIOR_WEIGHT);
  }

  /** @returns expected ms per token while that many requests run */
  predict(concurrency: number): number {
    const mean = this.#sumY / this.#sumWeight;
    const meanX = this.#sumX / this.#sumWeight;
    const variance = this.#sumXX / this.#sumWeight - meanX * meanX;
    const covariance = this.#sumXY / this.#sumWeight - meanX * mean;
    const slope = variance > 0.01 ? Math.max(0, covariance / variance) : 0;
    return Math.max(mean / 4, mean + slope * (concurrency - meanX));
  }

  /** Takes an observation; one far off the line counts as a less extreme one. */
  observe(concurrency: number, msPerToken: number): void {
    const expected = this.predict(concurrency);
    const bounded = Math.max(expected / 4, Math.min(expected * 4, msPerToken));
    this.#sumWeight *= SAMPLE_DECAY;
    this.#sumX *= SAMPLE_DECAY;
    this.#sumY *= SAMPLE_DECAY;
    this.#sumXX *= SAMPLE_DECAY;
    this.#sumXY *= SAMPLE_DECAY;
    this.#addSample(concurrency, bounded, 1);
  }

  #addSample(x: number, y: number, weight: number): void {
    this.#sumWeight += weight;
    this.#sumX += x * weight;
    this.#sumY += y * weight;
    this.#sumXX += x * x * weight;
    this.#sumXY += x * y * weight;
  }
}
