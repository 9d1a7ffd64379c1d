import type { Account } from '../../../state/gateway/index.ts';
import { TokenBucket } from '../../limits/TokenBucket.ts';

/** Bounds of quota use over all processes together. */
export interface QuotaBounds {
  /** Length of the sliding window in which the bounds hold, in ms. */
  readonly windowMs: number;
  /** Use allowed above the quota, as a fraction of the quota. */
  readonly overshoot: number;
  /** Tokens allowed above the quota and the overshoot, per window. */
  readonly slack: number;
}

interface AccountBucket {
  readonly bucket: TokenBucket;
  quota: Account['quota'];
  share: number;
}

const MS_PER_SECOND = 1_000;
/**
 * Fraction of the bound that is granted; the rest covers units that two processes grant at the same
 * time.
 */
const USABLE_FRACTION = 0.9;
/**
 * Fraction of a window's limit that the bucket holds when full; the rest is refilled evenly over
 * the window.
 */
const BURST_FRACTION = 0.2;

/**
 * Limits the use of each client account's quota with a token bucket. Buckets start empty: all
 * processes may have been killed at once, and units granted before the kill still count in the
 * windows that span it.
 */
export class QuotaLimiter {
  readonly #bounds: QuotaBounds;

  /** When this process started or last emptied the buckets, in ms. */
  #startedAt: number;

  readonly #buckets = new Map<string, AccountBucket>();

  /**
   * @param bounds - bounds over all processes together
   * @param startedAt - when this process started, in ms
   */
  constructor(bounds: QuotaBounds, startedAt: number) {
    this.#bounds = bounds;
    this.#startedAt = startedAt;
  }

  /**
   * Takes units of an account's quota if enough are available.
   *
   * @param account - the client account with its quota
   * @param units - tokens or requests, according to the quota's unit
   * @param share - fraction of the quota that this process may grant, from 0 to 1
   * @param now - current time, in ms
   * @returns 0 if the units were taken; otherwise the time until a retry, in ms
   */
  take(account: Account, units: number, share: number, now: number): number {
    if (account.quota.ratePerSecond <= 0) return 0;
    const { bucket } = this.#accountBucket(account, share, now);
    // A request larger than the burst is granted by a full bucket, whose level becomes negative.
    const burst = BURST_FRACTION * this.#windowLimit(account, share);
    const waitMs = bucket.msUntilLevel(Math.min(units, burst), now);
    if (waitMs <= 0) bucket.consume(units, now);
    return waitMs;
  }

  /**
   * Returns the time until an account's bucket will have received units, if nothing else is taken.
   *
   * @param account - the client account with its quota
   * @param units - units in addition to what was taken; may exceed the burst
   * @param share - fraction of the quota that this process may grant, from 0 to 1
   * @param now - current time, in ms
   * @returns the time in ms; 0 if the bucket holds them
   */
  msUntilAvailable(account: Account, units: number, share: number, now: number): number {
    if (account.quota.ratePerSecond <= 0) return 0;
    return this.#accountBucket(account, share, now).bucket.msUntilLevel(units, now);
  }

  /** Returns units that were taken but not used to the account's bucket. */
  refund(account: string, units: number, now: number): void {
    this.#buckets.get(account)?.bucket.refund(units, now);
  }

  /**
   * Empties all buckets, for a process that takes over the accounting from another one or continues
   * on its own.
   *
   * @param now - current time, in ms
   */
  reset(now: number): void {
    this.#startedAt = now;
    this.#buckets.clear();
  }

  /** Units that this process may grant within a window. */
  #windowLimit({ quota }: Account, share: number): number {
    const { windowMs, overshoot, slack } = this.#bounds;
    const nominal = (quota.ratePerSecond * windowMs) / MS_PER_SECOND + quota.burst;
    const tokenSlack = quota.unit === 'tokens' ? slack : 0;
    return USABLE_FRACTION * share * (nominal * (1 + overshoot) + tokenSlack);
  }

  #accountBucket(account: Account, share: number, now: number): AccountBucket {
    const { name, quota } = account;
    const limit = this.#windowLimit(account, share);
    const burst = BURST_FRACTION * limit;
    const rate = ((limit - burst) * MS_PER_SECOND) / this.#bounds.windowMs;
    const existing = this.#buckets.get(name);
    if (existing !== undefined) {
      if (existing.quota !== quota || existing.share !== share)
        existing.bucket.reconfigure(rate, burst, now);
      existing.quota = quota;
      existing.share = share;
      return existing;
    }
    const bucket = new TokenBucket(rate, burst, this.#startedAt);
    bucket.consume(burst, this.#startedAt);
    const accountBucket = { bucket, quota, share };
    this.#buckets.set(name, accountBucket);
    return accountBucket;
  }
}
