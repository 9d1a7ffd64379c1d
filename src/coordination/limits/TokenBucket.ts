const MS_PER_SECOND = 1_000;

/**
 * A rate limit that lends: whoever finds the level above zero takes all it needs, and the debt is
 * waited off, so that one request larger than the burst can pass without raising the mean rate.
 */
export class TokenBucket {
  private level: number;

  private filledAt: number;

  /**
   * @param ratePerSecond - units that become free each second
   * @param burst - most units kept for later
   * @param now - present time in ms
   */
  constructor(
    private ratePerSecond: number,
    private burst: number,
    now: number,
  ) {
    this.level = burst;
    this.filledAt = now;
  }

  /** Changes the limits and keeps the level, cut to the new burst. */
  reconfigure(ratePerSecond: number, burst: number, now: number): void {
    this.fill(now);
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.level = Math.min(this.level, burst);
  }

  /**
   * Tells how long until the level is above a mark.
   *
   * @param mark - level to reach, in units
   * @param now - present time in ms
   * @returns the wait in ms, 0 where it is reached
   */
  waitFor(mark: number, now: number): number {
    this.fill(now);
    return Math.max(0, ((mark - this.level) / this.ratePerSecond) * MS_PER_SECOND);
  }

  /** Gives the units that could be taken without debt. */
  available(now: number): number {
    this.fill(now);
    return Math.max(0, this.level);
  }

  /** Takes units, into debt if need be. */
  take(units: number, now: number): void {
    this.fill(now);
    this.level -= units;
  }

  /** Gives units back that were not used. */
  refund(units: number, now: number): void {
    this.fill(now);
    this.level = Math.min(this.burst, this.level + units);
  }

  private fill(now: number): void {
    const gained = ((now - this.filledAt) / MS_PER_SECOND) * this.ratePerSecond;
    this.level = Math.min(this.burst, this.level + Math.max(0, gained));
    this.filledAt = Math.max(this.filledAt, now);
  }
}
