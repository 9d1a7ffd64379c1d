/** Factor applied to the weight of older observations at each new one. */
const SAMPLE_DECAY = 0.96;
/** Weight of each of the two initial samples from the configured rate; an observation has weight 1. */
const PRIOR_WEIGHT = 1;

/**
 * Linear regression of the time per generated token on the number of running requests, by least
 * squares with exponentially decaying weights. In the sums, x is the number of running requests and
 * y the time per token in ms.
 */
export class DecodeTimeRegression {
  #sumWeight = 0;

  #sumX = 0;

  #sumY = 0;

  #sumXX = 0;

  #sumXY = 0;

  /**
   * @param msPerToken - initial estimate for any number of running requests, in ms
   * @param slots - largest number of running requests that the initial estimate covers
   */
  constructor(msPerToken: number, slots: number) {
    this.#addSample(1, msPerToken, PRIOR_WEIGHT);
    this.#addSample(slots, msPerToken, PRIOR_WEIGHT);
  }

  /**
   * Predicts the time per token.
   *
   * @param concurrency - number of running requests
   * @returns time per token in ms, at least a quarter of the weighted mean of all samples
   */
  predict(concurrency: number): number {
    const meanY = this.#sumY / this.#sumWeight;
    const meanX = this.#sumX / this.#sumWeight;
    const variance = this.#sumXX / this.#sumWeight - meanX * meanX;
    const covariance = this.#sumXY / this.#sumWeight - meanX * meanY;
    const slope = variance > 0.01 ? Math.max(0, covariance / variance) : 0;
    return Math.max(meanY / 4, meanY + slope * (concurrency - meanX));
  }

  /**
   * Adds an observation, limited to between a quarter and four times the prediction.
   *
   * @param concurrency - number of running requests
   * @param msPerToken - observed time per token, in ms
   */
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
