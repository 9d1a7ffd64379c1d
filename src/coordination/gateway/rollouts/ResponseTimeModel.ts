/** Least gains of the running means, below which they don't fall as samples arrive. */
const MINIMUM_GAIN = { route: 0.01, endpoint: 0.05, scale: 0.02 } as const;
/** Gain of the recent deviation that all endpoints share, which follows changes of load within some requests. */
const COMMON_GAIN = 0.05;
/** Most that one sample changes a mean, as a natural logarithm, so that an outlier has little effect. */
const MAXIMUM_STEP = 1.5;
/** Spread of response times about their mean, as a natural logarithm, before and below which none is believed. */
const INITIAL_SCALE = 0.4;
const MINIMUM_SCALE = 0.25;
/** Samples of a route at the old version from which its mean is used as a reference. */
const MINIMUM_REFERENCE_SAMPLES = 20;

/** Ratio of the standard deviation to the mean absolute deviation of a normal distribution. */
const SCALE_OF_MEAN_DEVIATION = 1.2533;

interface RouteReference {
  count: number;
  mean: number;
  scale: number;
}

interface EndpointReference {
  count: number;
  mean: number;
}

/** How a response time at the new version compares with the old version's at the same moments. */
export interface TimeComparison {
  /** Natural logarithm of the time relative to an old endpoint of mean speed. */
  readonly excess: number;
  /** Spread of such values at one old endpoint. */
  readonly scale: number;
}

const clampStep = (step: number): number => Math.max(-MAXIMUM_STEP, Math.min(MAXIMUM_STEP, step));

/**
 * Response times of the old version: a mean for each route, an offset for each endpoint, which differ in speed by
 * nature, and the recent deviation that all share, which is the load. All are natural logarithms of the time in
 * units of the predicted time.
 */
export class ResponseTimeModel {
  readonly #routes = new Map<string, RouteReference>();

  readonly #endpoints = new Map<string, EndpointReference>();

  #common = 0;

  /**
   * Adds a response of the old version.
   *
   * @param route - the route
   * @param endpoint - the endpoint
   * @param logRatio - natural logarithm of its time in units of the predicted time
   */
  add(route: string, endpoint: string, logRatio: number): void {
    const reference = this.#routes.get(route) ?? { count: 0, mean: logRatio, scale: INITIAL_SCALE };
    this.#routes.set(route, reference);
    const offset = this.#endpoints.get(endpoint) ?? { count: 0, mean: 0 };
    this.#endpoints.set(endpoint, offset);
    const fromRoute = logRatio - reference.mean - this.#common;
    const isFirst = offset.count === 0;
    offset.count += 1;
    offset.mean += isFirst
      ? fromRoute
      : clampStep(fromRoute - offset.mean) * Math.max(MINIMUM_GAIN.endpoint, 1 / offset.count);
    reference.count += 1;
    const residual = clampStep(fromRoute - offset.mean);
    reference.mean += residual * Math.max(MINIMUM_GAIN.route, 1 / reference.count);
    if (isFirst) return;
    this.#common += COMMON_GAIN * residual;
    const scaleGain = Math.max(MINIMUM_GAIN.scale, 1 / (reference.count + 10));
    reference.scale += scaleGain * (Math.abs(residual) * SCALE_OF_MEAN_DEVIATION - reference.scale);
  }

  /**
   * Compares a response of the new version.
   *
   * @param route - the route
   * @param logRatio - natural logarithm of its time in units of the predicted time
   * @returns the comparison; undefined while the old version has too few responses of the route
   */
  compare(route: string, logRatio: number): TimeComparison | undefined {
    const reference = this.#routes.get(route);
    if (reference === undefined || reference.count < MINIMUM_REFERENCE_SAMPLES) return undefined;
    return {
      excess: logRatio - reference.mean - this.#common,
      scale: Math.max(MINIMUM_SCALE, reference.scale),
    };
  }

  /** Offsets of the old endpoints: how much slower than the mean each is by nature. */
  listOffsets(): readonly number[] {
    return [...this.#endpoints.values()].map(({ mean }) => mean);
  }
}
