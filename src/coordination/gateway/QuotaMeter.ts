import type { Account, AccountQuota } from '../../state/gateway/index.ts';
import { TokenBucket } from '../limits/TokenBucket.ts';

/** What bounds the use of quotas over all processes. */
export interface QuotaBounds {
  readonly windowMs: number;
  readonly overshoot: number;
  readonly slack: number;
}

/** Part of the allowed overshoot that is given out; the rest is for changes of the process that counts. */
const OVERSHOOT_SHARE = 0.4;
const MS_PER_SECOND = 1_000;

interface Meter {
  readonly bucket: TokenBucket;
  quota: AccountQuota;
  share: number;
}

/** The use of each client account's quota, as one process counts it. */
export class QuotaMeter {
  readonly #bounds: QuotaBounds;

  readonly #meters = new Map<string, Meter>();

  constructor(bounds: QuotaBounds) {
    this.#bounds = bounds;
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
    const waitMs = bucket.waitFor(Math.min(units, account.quota.burst * share), now);
    if (waitMs > 0) return waitMs;
    bucket.take(units, now);
    return 0;
  }

  /** Counts units that were used whatever the quota says. */
  charge(account: Account, units: number, share: number, now: number): void {
    if (account.quota.ratePerSecond > 0) this.#meter(account, share, now).bucket.take(units, now);
  }

  /** Gives units back that were not used. */
  refund(account: Account, units: number, share: number, now: number): void {
    if (account.quota.ratePerSecond > 0) this.#meter(account, share, now).bucket.put(units, now);
  }

  #meter(account: Account, share: number, now: number): Meter {
    const { quota } = account;
    const rate = quota.ratePerSecond * share;
    const burst = this.#burst(quota) * share;
    const held = this.#meters.get(account.name);
    if (held === undefined) {
      const meter = { bucket: new TokenBucket(rate, burst, now), quota, share };
      this.#meters.set(account.name, meter);
      return meter;
    }
    if (held.quota !== quota || held.share !== share) {
      held.bucket.reconfigure(rate, burst, now);
      held.quota = quota;
      held.share = share;
    }
    return held;
  }

  #burst({ ratePerSecond, burst, unit }: AccountQuota): number {
    const { windowMs, overshoot, slack } = this.#bounds;
    const nominal = (ratePerSecond * windowMs) / MS_PER_SECOND + burst;
    const spare = nominal * overshoot + (unit === 'tokens' ? slack : 0);
    return burst + OVERSHOOT_SHARE * spare;
  }
}
