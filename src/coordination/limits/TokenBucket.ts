const MS_PER_SECOND = 1_000;

/**
 * Token bucket whose level may become negative. A request larger than the burst can pass this way
 * without raising the mean rate, as later requests wait until the debt is repaid.
 */
export class TokenBucket {
  private level: number;

  private refilledAt: number;

  /**
   * @param ratePerSecond - units refilled per second
   * @param burst - maximum level in units
   * @param now - current time in ms
   */
  constructor(
    private ratePerSecond: number,
    private burst: number,
    now: number,
  ) {
    this.level = burst;
    this.refilledAt = now;
  }

  /**
   * Changes the rate and the burst. The level is kept, but capped at the new burst.
   *
   * @param ratePerSecond - units refilled per second
   * @param burst - maximum level in units
   * @param now - current time in ms
   */
  reconfigure(ratePerSecond: number, burst: number, now: number): void {
    this.refill(now);
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.level = Math.min(this.level, burst);
  }

  /**
   * Returns how long it takes to refill the bucket to a level.
   *
   * @param targetLevel - level to reach in units
   * @param now - current time in ms
   * @returns the time in ms, 0 if the level is reached
   */
  msUntilLevel(targetLevel: number, now: number): number {
    this.refill(now);
    return Math.max(0, ((targetLevel - this.level) / this.ratePerSecond) * MS_PER_SECOND);
  }

  /**
   * Returns the units that can be consumed without debt.
   *
   * @param now - current time in ms
   * @returns the units, at least 0
   */
  available(now: number): number {
    this.refill(now);
    return Math.max(0, this.level);
  }

  /**
   * Consumes units, which may make the level negative.
   *
   * @param units - units to consume
   * @param now - current time in ms
   */
  consume(units: number, now: number): void {
    this.refill(now);
    this.level -= units;
  }

  /**
   * Returns unused units to the bucket, up to the burst.
   *
   * @param units - unused units; a negative number consumes more
   * @param now - current time in ms
   */
  refund(units: number, now: number): void {
    this.refill(now);
    this.level = Math.min(this.burst, this.level + units);
  }

  private refill(now: number): void {
    const refilledUnits = ((now - this.refilledAt) / MS_PER_SECOND) * this.ratePerSecond;
    this.level = Math.min(this.burst, this.level + Math.max(0, refilledUnits));
    this.refilledAt = Math.max(this.refilledAt, now);
  }
}
