import type { Account } from '../../state/gateway/index.ts';
import { TokenBucket } from '../limits/TokenBucket.ts';

/** What bounds the use of quotas over all processes. */
export interface QuotaBounds {
  readonly windowMs: number;
  /** How far use may go over the quota, as a share of it. */
  readonly overshoot: number;
  /** Tokens that use may go over the quota besides. */
  readonly slack: number;
}

interface Meter {
  readonly bucket: TokenBucket;
  quota: Account['quota'];
  share: number;
}

const MS_PER_SECOND = 1_000;
/** Part of the bound that is given out; the rest is for what two processes count at once. */
const USED_SHARE = 0.9;
/** Part of a window's bound that may be used at once; the rest comes evenly over the window. */
const BURST_SHARE = 0.2;

/**
 * The use of each client account's quota, as one process counts it. A process begins with an empty
 * bucket: all may have been killed at once, and what they gave out before still counts within the
 * window that spans the kill.
 */
export class QuotaMeter {
  readonly #bounds: QuotaBounds;

  #startedAt: number;

  readonly #meters = new Map<string, Meter>();

  /**
   * @param bounds - what holds over all processes
   * @param startedAt - start of this process, in ms
   */
  constructor(bounds: QuotaBounds, startedAt: number) {
    this.#bounds = bounds;
    this.#startedAt = startedAt;
  }

  /**
   * Takes units of an account's quota.
   *
   * @param account - the account with its quota
   * @param units - tokens or requests, by the quota's unit
   * @param share - part of the quota that this process may give out, from 0 to 1
   * @param now - present time in ms
   * @returns 0 where they were taken, or the time in ms after which to try again
   */
  take(account: Account, units: number, share: number, now: number): number {
    if (account.quota.ratePerSecond <= 0) return 0;
    const { bucket } = this.#meter(account, share, now);
    // A request larger than the burst passes a full bucket, and its debt is waited off.
    const burst = BURST_SHARE * this.#limit(account, share);
    const waitMs = bucket.waitFor(Math.min(units, burst), now);
    if (waitMs <= 0) bucket.take(units, now);
    return waitMs;
  }

  /** Gives units back that were taken and not used. */
  refund(account: string, units: number, now: number): void {
    this.#meters.get(account)?.bucket.refund(units, now);
  }

  /**
   * Begins to count with empty buckets, where this process takes over from another one that counted,
   * or goes on alone.
   *
   * @param now - present time in ms
   */
  reset(now: number): void {
    this.#startedAt = now;
    this.#meters.clear();
  }

  /** Units that may be used within a window. */
  #limit({ quota }: Account, share: number): number {
    const { windowMs, overshoot, slack } = this.#bounds;
    const nominal = (quota.ratePerSecond * windowMs) / MS_PER_SECOND + quota.burst;
    const spare = quota.unit === 'tokens' ? slack : 0;
    return USED_SHARE * share * (nominal * (1 + overshoot) + spare);
  }

  #meter(account: Account, share: number, now: number): Meter {
    const { name, quota } = account;
    const limit = this.#limit(account, share);
    const burst = BURST_SHARE * limit;
    const rate = ((limit - burst) * MS_PER_SECOND) / this.#bounds.windowMs;
    const held = this.#meters.get(name);
    if (held !== undefined) {
      if (held.quota !== quota || held.share !== share) held.bucket.reconfigure(rate, burst, now);
      held.quota = quota;
      held.share = share;
      return held;
    }
    const bucket = new TokenBucket(rate, burst, this.#startedAt);
    bucket.take(burst, this.#startedAt);
    const meter = { bucket, quota, share };
    this.#meters.set(name, meter);
    return meter;
  }
}
