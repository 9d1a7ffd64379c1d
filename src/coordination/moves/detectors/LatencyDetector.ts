/** Factor on the old version's latency per unit of work that the test is designed to detect. */
const SLOW_RATIO = 2;
/** Half the distance from the expected to the slow mean of log latency: (mu0 + mu1) / 2 - mu0. */
const LOG_ALLOWANCE = Math.log(SLOW_RATIO) / 2;
/** Sum of excess log latency at which a version counts as slow. */
const SIGNAL_LOG_EXCESS = 4;
/** Upper bound on the excess log latency of one request, which limits the effect of outliers. */
const MAXIMUM_LOG_EXCESS = 1.5;
/** Requests of the old version in a load band before its mean is used as a reference. */
const MINIMUM_REFERENCE_REQUESTS = 10;
/** Least weight of the latest request in a reference; the first requests weigh more. */
const REFERENCE_WEIGHT = 0.02;
/** Weight of the latest request in the recent latency of the old version. */
const RECENT_WEIGHT = 0.35;
/** Least decrease of log latency per halving of load, by which a busier old version is compared with the new. */
const LOG_SAVING_PER_BAND = Math.log(1.2);
/** Extra log latency tolerated per load band (doubling of load) above the nearest one with a reference. */
const LOG_TOLERANCE_PER_BAND = Math.log(1.5);

/** Running mean of the old version's log latency in one load band. */
interface Reference {
  count: number;
  mean: number;
}

/**
 * Detects that the new version is slower than the old one. It is a one-sided cumulative sum (CUSUM)
 * of log latency per unit of work, after Maravelakis, Panaretos and Psarakis (1999): with log
 * latency taken as normal, the scheme for a mean that grows from mu0 to mu1 adds
 * `ln x - (mu0 + mu1) / 2`, resets at zero and signals above a limit. mu0 is the old version's
 * running mean in the same load band, or its recent latency where that is higher.
 */
export class LatencyDetector {
  private readonly references = new Map<number, Reference>();

  /** Recent averages of the log latency and of the load band of the old version. */
  private recentOld: { logLatency: number; band: number } | undefined;

  private logExcessSum = 0;

  private readonly slowSources = new Set<string>();

  /**
   * Adds a request of the old version.
   *
   * @param logLatency - natural log of latency per unit of work
   * @param band - load band of the endpoint at that time
   */
  addOld(logLatency: number, band: number): void {
    this.recentOld ??= { logLatency, band };
    this.recentOld.logLatency += RECENT_WEIGHT * (logLatency - this.recentOld.logLatency);
    this.recentOld.band += RECENT_WEIGHT * (band - this.recentOld.band);
    const reference = this.references.get(band) ?? { count: 0, mean: 0 };
    reference.count += 1;
    const weight = Math.max(REFERENCE_WEIGHT, 1 / reference.count);
    reference.mean += weight * (logLatency - reference.mean);
    this.references.set(band, reference);
  }

  /**
   * Adds a request of the new version.
   *
   * @param logLatency - natural log of latency per unit of work
   * @param band - load band of the endpoint at that time
   * @param source - what tells independent observations apart, such as the name of the endpoint
   */
  addNew(logLatency: number, band: number, source: string): void {
    const expected = this.expectedLogLatency(band);
    if (expected === undefined) return;
    const excess = Math.min(MAXIMUM_LOG_EXCESS, logLatency - expected) - LOG_ALLOWANCE;
    this.logExcessSum = Math.max(0, this.logExcessSum + excess);
    if (this.logExcessSum === 0) this.slowSources.clear();
    else if (excess > 0) this.slowSources.add(source);
  }

  /**
   * Tells whether a single request adds to the suspicion.
   *
   * @param logLatency - natural log of latency per unit of work
   * @param band - load band of the endpoint at that time
   * @returns whether it lies above the midpoint of the expected and the slow mean
   */
  isSlow(logLatency: number, band: number): boolean {
    const expected = this.expectedLogLatency(band);
    return expected !== undefined && logLatency - expected > LOG_ALLOWANCE;
  }

  /** @returns the suspicion against the new version: 0 for none, 1 and above for a detected fault */
  suspicion(): number {
    return this.logExcessSum / SIGNAL_LOG_EXCESS;
  }

  /** @returns the sources whose slow requests add to the present suspicion */
  sourcesOfSuspicion(): ReadonlySet<string> {
    return this.slowSources;
  }

  // A slowdown that the old version shows too, corrected for its load, isn't the new version's fault.
  private recentOldLogLatency(band: number): number {
    if (this.recentOld === undefined) return -Infinity;
    const saving = Math.max(0, this.recentOld.band - band) * LOG_SAVING_PER_BAND;
    return this.recentOld.logLatency - saving;
  }

  private expectedLogLatency(band: number): number | undefined {
    const settled = [...this.references.entries()].filter(
      ([, { count }]) => count >= MINIMUM_REFERENCE_REQUESTS,
    );
    const nearest = settled.sort(([a], [b]) => Math.abs(a - band) - Math.abs(b - band))[0];
    if (nearest === undefined) return undefined;
    const [nearestBand, { mean }] = nearest;
    const atBand = mean + Math.max(0, band - nearestBand) * LOG_TOLERANCE_PER_BAND;
    return Math.max(atBand, this.recentOldLogLatency(band));
  }
}
