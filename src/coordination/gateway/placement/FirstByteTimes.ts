/** Requests whose times to first byte are comparable. */
export interface RequestGroup {
  readonly service: string;
  readonly route: string;
  /** Size group, see `sizeGroupOf`. */
  readonly size: number;
}

/** Times of one group: pairs of a bucket and the number of times in it. */
export interface FirstByteReport extends RequestGroup {
  readonly counts: readonly (readonly [bucket: number, count: number])[];
}

interface GroupTimes extends RequestGroup {
  readonly counts: Map<number, number>;
  decayedAt: number;
}

/** Width of a bucket, as a ratio of its bounds: the error of a quantile stays within 5 %. */
const BUCKET_RATIO = 1.1;
const LONGEST_MS = 600_000;
/** Decay is applied at this interval at most, so that a sample doesn't cost a pass over the buckets. */
const DECAY_INTERVAL_MS = 250;
const MAXIMUM_GROUPS = 512;

const bucketOf = (ms: number): number =>
  Math.round(Math.log(Math.min(LONGEST_MS, Math.max(1, ms))) / Math.log(BUCKET_RATIO));

const LAST_BUCKET = bucketOf(LONGEST_MS);

const msOf = (bucket: number): number => BUCKET_RATIO ** bucket;

const keyOf = ({ service, route, size }: RequestGroup): string => `${service} ${route} ${size}`;

const weightOf = ({ counts }: GroupTimes): number =>
  [...counts.values()].reduce((sum, count) => sum + count, 0);

/**
 * Returns the group of requests of similar size; each spans a factor of 4.
 *
 * @param size - prompt tokens, or bytes of the body for a plain service
 */
export const sizeGroupOf = (size: number): number =>
  Math.floor(Math.log2(Math.max(0, size) + 1) / 2);

/** Histograms of times to first byte by group, in which older times count less. */
export class FirstByteTimes {
  readonly #groups = new Map<string, GroupTimes>();

  readonly #halfLifeMs: number;

  /** @param halfLifeMs - age in ms at which a time counts half; infinite to keep all */
  constructor(halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs;
  }

  /** Whether no time is recorded. */
  get isEmpty(): boolean {
    return this.#groups.size === 0;
  }

  /**
   * Records the time from sending a request to its first byte.
   *
   * @param group - the request's group
   * @param ms - the time in ms
   * @param now - present time in ms, monotonic
   */
  record(group: RequestGroup, ms: number, now: number): void {
    this.#add(group, bucketOf(ms), 1, now);
  }

  /** Adds what other processes have recorded; counts that make no sense are ignored. */
  merge(reports: readonly FirstByteReport[], now: number): void {
    reports.forEach(({ counts, ...group }) =>
      counts
        .filter(([bucket, count]) => bucket >= 0 && bucket <= LAST_BUCKET && count > 0)
        .forEach(([bucket, count]) => this.#add(group, Math.round(bucket), count, now)),
    );
  }

  /** Returns all that is recorded, and forgets it. */
  take(): FirstByteReport[] {
    const reports = [...this.#groups.values()].map(({ service, route, size, counts }) => ({
      service,
      route,
      size,
      counts: [...counts],
    }));
    this.#groups.clear();
    return reports;
  }

  /** Lists the groups of which times are recorded. */
  list(): readonly RequestGroup[] {
    return [...this.#groups.values()].map(({ service, route, size }) => ({ service, route, size }));
  }

  /**
   * Returns a quantile of a group's times.
   *
   * @param group - the group
   * @param quantile - from 0 to 1
   * @param leastWeight - number of times, older ones counted in part, below which there is no estimate
   * @param now - present time in ms, monotonic
   * @returns the time in ms; undefined if too few times are recorded
   */
  quantile(
    group: RequestGroup,
    quantile: number,
    leastWeight: number,
    now: number,
  ): number | undefined {
    const times = this.#groups.get(keyOf(group));
    if (times === undefined) return undefined;
    this.#decay(times, now);
    const weight = weightOf(times);
    if (weight < leastWeight) return undefined;
    let left = quantile * weight;
    const found = [...times.counts]
      .sort(([a], [b]) => a - b)
      .find(([, count]) => {
        left -= count;
        return left <= 0;
      });
    return msOf(found?.[0] ?? LAST_BUCKET);
  }

  /**
   * Estimates how many requests of a service wait for their first byte at a time, by Little's law.
   *
   * @param service - the service
   * @param now - present time in ms, monotonic
   * @returns the mean number; for a plain service, whose answers come at once, the occupied slots
   */
  meanInProgress(service: string, now: number): number {
    let timeMs = 0;
    this.#groups.forEach((times) => {
      if (times.service !== service) return;
      this.#decay(times, now);
      times.counts.forEach((count, bucket) => {
        timeMs += count * msOf(bucket);
      });
    });
    return (timeMs * Math.LN2) / this.#halfLifeMs;
  }

  #add(group: RequestGroup, bucket: number, count: number, now: number): void {
    const key = keyOf(group);
    let times = this.#groups.get(key);
    if (times === undefined) {
      if (this.#groups.size >= MAXIMUM_GROUPS) this.#evict(now);
      const { service, route, size } = group;
      times = { service, route, size, counts: new Map(), decayedAt: now };
      this.#groups.set(key, times);
    }
    this.#decay(times, now);
    times.counts.set(bucket, (times.counts.get(bucket) ?? 0) + count);
  }

  #decay(group: GroupTimes, now: number): void {
    const times = group;
    const ageMs = now - times.decayedAt;
    if (ageMs < DECAY_INTERVAL_MS) return;
    times.decayedAt = now;
    const factor = 0.5 ** (ageMs / this.#halfLifeMs);
    times.counts.forEach((count, bucket) => times.counts.set(bucket, count * factor));
  }

  /** Forgets the group that has the fewest recent times. */
  #evict(now: number): void {
    let least: { readonly key: string; readonly weight: number } | undefined;
    this.#groups.forEach((times, key) => {
      this.#decay(times, now);
      const weight = weightOf(times);
      if (least === undefined || weight < least.weight) least = { key, weight };
    });
    if (least !== undefined) this.#groups.delete(least.key);
  }
}
