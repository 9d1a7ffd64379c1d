/** A version counts as slow when its latency per unit of work is this many times the old one's. */
const SLOW_RATIO = 2;
/** Half-way between the usual and the slow mean of log latency: (mu0 + mu1) / 2 - mu0. */
const ALLOWANCE = Math.log(SLOW_RATIO) / 2;
/** Sum of log excess at which a version counts as slow. */
const SIGNAL = 4;
/** Bounds what one request can show, in log latency. */
const MAXIMUM_EXCESS = 1.5;
/** Old requests that the reference needs before anything is compared with it. */
const MINIMUM_REFERENCE = 10;
/** Weight of the newest request in a reference that has settled. */
const REFERENCE_WEIGHT = 0.02;
/** Weight of the newest old request in the old version's latency right now. */
const RECENT_WEIGHT = 0.35;
/** What a halved load is taken to save at least, where the old version carries more than the new. */
const SAVED_PER_BAND = Math.log(1.2);
/** More is forgiven where the old version was never seen at such a load, per doubling of load. */
const FORGIVEN_PER_BAND = Math.log(1.5);

interface Reference {
  count: number;
  mean: number;
}

/**
 * Tells whether the new version is slower than the old one on one route. A one-sided cumulative sum
 * of log latency per unit of work, after Maravelakis, Panaretos and Psarakis (1999): with log
 * latency taken as normal, the scheme for a mean that grows from mu0 to mu1 adds
 * `ln x - (mu0 + mu1) / 2`, starts over at zero and signals above a limit. mu0 is the old version's
 * running mean in the same load band, or what the old version shows right now where that is higher.
 */
export class LatencyDetector {
  private readonly references = new Map<number, Reference>();

  /** Log latency of the old version right now, and the load that it has. */
  private recent: { logLatency: number; band: number } | undefined;

  private sum = 0;

  private readonly witnesses = new Set<string>();

  /**
   * Adds a request of the old version.
   *
   * @param logLatency - natural log of latency per unit of work
   * @param band - load band of the endpoint at that time
   */
  addOld(logLatency: number, band: number): void {
    this.recent ??= { logLatency, band };
    this.recent.logLatency += RECENT_WEIGHT * (logLatency - this.recent.logLatency);
    this.recent.band += RECENT_WEIGHT * (band - this.recent.band);
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
   * @param witness - what must differ for two findings to count as two, such as the endpoint
   */
  addNew(logLatency: number, band: number, witness: string): void {
    const usual = this.usual(band);
    if (usual === undefined) return;
    const excess = Math.min(MAXIMUM_EXCESS, logLatency - usual) - ALLOWANCE;
    this.sum = Math.max(0, this.sum + excess);
    if (this.sum === 0) this.witnesses.clear();
    else if (excess > 0) this.witnesses.add(witness);
  }

  /** Tells whether one request was slower than the test's middle between usual and slow. */
  isSlow(logLatency: number, band: number): boolean {
    const usual = this.usual(band);
    return usual !== undefined && logLatency - usual > ALLOWANCE;
  }

  /** Gives how much speaks against the new version: 0 nothing, 1 and above is a signal. */
  suspicion(): number {
    return this.sum / SIGNAL;
  }

  /** Gives the witnesses that add to the suspicion. */
  testimony(): ReadonlySet<string> {
    return this.witnesses;
  }

  // What slows the old version too, whatever its load, isn't the new version's fault.
  private rightNow(band: number): number {
    if (this.recent === undefined) return -Infinity;
    const saved = Math.max(0, this.recent.band - band) * SAVED_PER_BAND;
    return this.recent.logLatency - saved;
  }

  private usual(band: number): number | undefined {
    const known = [...this.references.entries()].filter(
      ([, { count }]) => count >= MINIMUM_REFERENCE,
    );
    const nearest = known.sort(([a], [b]) => Math.abs(a - band) - Math.abs(b - band))[0];
    if (nearest === undefined) return undefined;
    const [nearestBand, { mean }] = nearest;
    const lately = mean + Math.max(0, band - nearestBand) * FORGIVEN_PER_BAND;
    return Math.max(lately, this.rightNow(band));
  }
}
