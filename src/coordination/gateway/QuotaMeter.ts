import type { Account } from '../../state/gateway/index.ts';

/** What bounds the use of quotas over all processes. */
export interface QuotaBounds {
  readonly windowMs: number;
  /** How far use may go over the quota, as a share of it. */
  readonly overshoot: number;
  /** Tokens that use may go over the quota besides. */
  readonly slack: number;
}

/** Units used at one time, as one process counts them for an account. */
interface Use {
  readonly at: number;
  units: number;
}

/** The most recent use of an account's quota, told to a process that may have to go on counting. */
export interface QuotaUse {
  readonly account: string;
  readonly units: number;
}

const MS_PER_SECOND = 1_000;
/** Part of the bound that is given out; the rest is for what two processes count at once. */
const USED_SHARE = 0.9;
/** Wait told where a request alone is over the bound. */
const NEVER_FITS_MS = 5_000;

/** The use of each client account's quota over the last window, as one process counts it. */
export class QuotaMeter {
  readonly #bounds: QuotaBounds;

  readonly #uses = new Map<string, Use[]>();

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
    const uses = this.#recent(account.name, now);
    const limit = this.#limit(account, share);
    const used = uses.reduce((sum, use) => sum + use.units, 0);
    if (used + units <= limit) {
      uses.push({ at: now, units });
      return 0;
    }
    return this.#waitFor(used + units - limit, uses, now);
  }

  /** Gives units back that were taken last and not used. */
  refund(account: string, units: number, now: number): void {
    let left = units;
    [...this.#recent(account, now)].reverse().forEach((use) => {
      const entry = use;
      const returned = Math.min(left, entry.units);
      entry.units -= returned;
      left -= returned;
    });
  }

  /** Gives the use of the last window, account by account. */
  uses(now: number): QuotaUse[] {
    return [...this.#uses.keys()]
      .map((account) => ({
        account,
        units: this.#recent(account, now).reduce((sum, use) => sum + use.units, 0),
      }))
      .filter(({ units }) => units > 0);
  }

  /** Takes over what another process counted, where more was used than is known here. */
  adopt(uses: readonly QuotaUse[], now: number): void {
    uses.forEach(({ account, units }) => {
      const recent = this.#recent(account, now);
      const known = recent.reduce((sum, use) => sum + use.units, 0);
      // How the use lies in the window isn't told; the middle is right on average.
      if (units > known) recent.unshift({ at: now - this.#bounds.windowMs / 2, units: units - known });
    });
  }

  #limit({ quota }: Account, share: number): number {
    const { windowMs, overshoot, slack } = this.#bounds;
    const nominal = (quota.ratePerSecond * windowMs) / MS_PER_SECOND + quota.burst;
    const spare = quota.unit === 'tokens' ? slack : 0;
    return USED_SHARE * share * (nominal * (1 + overshoot) + spare);
  }

  #waitFor(excess: number, uses: readonly Use[], now: number): number {
    let left = excess;
    const freeing = uses.find((use) => {
      left -= use.units;
      return left <= 0;
    });
    return freeing === undefined
      ? NEVER_FITS_MS
      : Math.max(1, freeing.at + this.#bounds.windowMs - now);
  }

  #recent(account: string, now: number): Use[] {
    const uses = this.#uses.get(account) ?? [];
    this.#uses.set(account, uses);
    const first = uses.findIndex(({ at }) => at > now - this.#bounds.windowMs);
    uses.splice(0, first < 0 ? uses.length : first);
    return uses;
  }
}
