import type { TimeComparison } from './ResponseTimeModel.ts';

/** A response time of a new endpoint. */
interface TimeSample extends TimeComparison {
  readonly endpoint: string;
}

/** Faults that are tested for: the part of the responses that is slower, and by what factor. */
const ALTERNATIVES = [
  { part: 1, factor: 2.2 },
  { part: 1, factor: 3 },
  { part: 0.5, factor: 3 },
  { part: 0.5, factor: 6 },
  { part: 0.25, factor: 6 },
].map(({ part, factor }) => ({ part, shift: Math.log(factor) }));
/** Numbers of the latest samples that are tested, so that a fault that begins late isn't outweighed. */
const WINDOWS = [12, 30, 80, 160] as const;
const MAXIMUM_SAMPLES = 160;
/** Offsets are rounded to this step, so that many old endpoints cost no more than a few. */
const OFFSET_STEP = 0.15;
/** Probability that a new engine is slower by nature than any old one, and by how much it may be. */
const UNSEEN_SPEED_PROBABILITY = 0.01;
const UNSEEN_OFFSETS = [0.4, 0.8, 1.2, 1.6];
/** Samples of one endpoint in one window that count in full; more are correlated by the endpoint's own load. */
const INDEPENDENT_SAMPLES = 6;

/** Density of Student's t distribution with 4 degrees of freedom up to a factor, which tolerates outliers. */
const density = (deviation: number, scale: number): number =>
  (1 + (deviation / scale) ** 2 / 4) ** -2.5 / scale;

interface SpeedPrior {
  readonly offset: number;
  readonly weight: number;
}

const makePrior = (offsets: readonly number[], mayDiffer: boolean): readonly SpeedPrior[] => {
  const bins = new Map<number, number>();
  offsets.forEach((offset) => {
    const bin = Math.round(offset / OFFSET_STEP);
    bins.set(bin, (bins.get(bin) ?? 0) + 1);
  });
  if (bins.size === 0) bins.set(0, 1);
  const total = Math.max(1, offsets.length);
  const unseen = mayDiffer ? UNSEEN_SPEED_PROBABILITY : 0;
  const seen = [...bins].map(([bin, count]) => ({
    offset: bin * OFFSET_STEP,
    weight: ((1 - unseen) * count) / total,
  }));
  return mayDiffer
    ? [
        ...seen,
        ...UNSEEN_OFFSETS.map((offset) => ({ offset, weight: unseen / UNSEEN_OFFSETS.length })),
      ]
    : seen;
};

const logSumExp = (values: readonly number[]): number => {
  const largest = Math.max(...values);
  return largest + Math.log(values.reduce((sum, value) => sum + Math.exp(value - largest), 0));
};

/** Log-likelihood of one endpoint's samples; its own speed is one of those that endpoints have. */
const logLikelihood = (
  samples: readonly TimeSample[],
  prior: readonly SpeedPrior[],
  alternative: { readonly part: number; readonly shift: number } | undefined,
): number => {
  const temper = Math.min(1, INDEPENDENT_SAMPLES / samples.length);
  return logSumExp(
    prior.map(({ offset, weight }) => {
      const sum = samples.reduce((total, { excess, scale }) => {
        const sound = density(excess - offset, scale);
        if (alternative === undefined) return total + Math.log(sound);
        const { part, shift } = alternative;
        return (
          total + Math.log((1 - part) * sound + part * density(excess - offset - shift, scale))
        );
      }, 0);
      return Math.log(weight) + temper * sum;
    }),
  );
};

/**
 * Tests whether a version is slow, by likelihood ratios over the latest response times. Each endpoint may have any
 * speed that an old endpoint has, so that endpoints that are slow by nature aren't taken for a slow version: their
 * number has to be improbable, or one endpoint's times have to differ from each other.
 */
export class SlownessTest {
  readonly #mayDiffer: boolean;

  #samples: TimeSample[] = [];

  /** @param mayDiffer - whether endpoints differ in speed by nature, as model engines do */
  constructor(mayDiffer: boolean) {
    this.#mayDiffer = mayDiffer;
  }

  /** Adds a response of the new version, from an endpoint. */
  add(endpoint: string, comparison: TimeComparison): void {
    this.#samples.push({ endpoint, ...comparison });
    if (this.#samples.length > MAXIMUM_SAMPLES) this.#samples.shift();
  }

  /**
   * Returns the largest log-likelihood ratio of a slow version to a sound one, over the latest samples.
   *
   * @param offsets - how much slower than the mean each old endpoint is, as a natural logarithm
   */
  logRatio(offsets: readonly number[]): number {
    if (this.#samples.length === 0) return 0;
    const prior = makePrior(offsets, this.#mayDiffer);
    const windows = WINDOWS.filter(
      (_, index) => index === 0 || this.#samples.length > (WINDOWS[index - 1] ?? 0),
    );
    return Math.max(...windows.map((window) => this.#logRatioOf(window, prior)));
  }

  #logRatioOf(window: number, prior: readonly SpeedPrior[]): number {
    const byEndpoint = new Map<string, TimeSample[]>();
    this.#samples.slice(-window).forEach((sample) => {
      const known = byEndpoint.get(sample.endpoint);
      if (known === undefined) byEndpoint.set(sample.endpoint, [sample]);
      else known.push(sample);
    });
    const groups = [...byEndpoint.values()];
    const sound = groups.map((samples) => logLikelihood(samples, prior, undefined));
    const ratios = ALTERNATIVES.map((alternative) =>
      groups.reduce(
        (sum, samples, index) =>
          sum + logLikelihood(samples, prior, alternative) - (sound[index] ?? 0),
        0,
      ),
    );
    return logSumExp(ratios) - Math.log(ALTERNATIVES.length);
  }
}
