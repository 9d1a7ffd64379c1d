import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Account } from '../../../state/gateway/index.ts';
import { QuotaLimiter } from './QuotaLimiter.ts';

const BOUNDS = { windowMs: 8_000, overshoot: 0.1, slack: 10_000 };
const ACCOUNT: Account = {
  name: 'office',
  keys: ['key'],
  quota: { unit: 'tokens', ratePerSecond: 1_000, burst: 1_000, defaultTokens: 200 },
};
/** Units that the bounds allow per window: (1,000 x 8 + 1,000) x 1.1 + 10,000. */
const ALLOWED_PER_WINDOW = 19_900;
const STEP_MS = 100;
const UNITS = 100;

/** Requests more than the quota at every step, and returns the units taken with their times. */
const takeAboveQuota = (limiter: QuotaLimiter, fromMs: number, toMs: number, share = 1) => {
  const taken: { readonly at: number; readonly units: number }[] = [];
  for (let at = fromMs; at < toMs; at += STEP_MS) {
    for (let count = 0; count < 20; count += 1) {
      if (limiter.take(ACCOUNT, UNITS, share, at) === 0) taken.push({ at, units: UNITS });
    }
  }
  return taken;
};

const maximumUnitsPerWindow = (
  taken: readonly { readonly at: number; readonly units: number }[],
): number =>
  Math.max(
    ...taken.map(({ at: end }) =>
      taken
        .filter(({ at }) => at <= end && at > end - BOUNDS.windowMs)
        .reduce((sum, { units }) => sum + units, 0),
    ),
  );

describe('QuotaLimiter', () => {
  it('keeps every window within the bound while demand exceeds the quota', () => {
    const taken = takeAboveQuota(new QuotaLimiter(BOUNDS, -20_000), 0, 40_000);
    expect(maximumUnitsPerWindow(taken)).toBeLessThanOrEqual(ALLOWED_PER_WINDOW);
  });

  it('grants most of what the bound allows above the nominal rate', () => {
    const taken = takeAboveQuota(new QuotaLimiter(BOUNDS, -20_000), 0, 8_000);
    const units = taken.reduce((sum, use) => sum + use.units, 0);
    expect(units).toBeGreaterThan(0.85 * ALLOWED_PER_WINDOW);
    expect(units).toBeGreaterThan(BOUNDS.windowMs + ACCOUNT.quota.burst);
  });

  it('keeps the bound in a window that spans a kill of all processes at once', () => {
    const before = takeAboveQuota(new QuotaLimiter(BOUNDS, -20_000), 0, 10_000);
    const after = takeAboveQuota(new QuotaLimiter(BOUNDS, 11_000), 11_000, 30_000);
    expect(maximumUnitsPerWindow([...before, ...after])).toBeLessThanOrEqual(ALLOWED_PER_WINDOW);
  });

  it('refuses no request of an account within its rate after a start', () => {
    const limiter = new QuotaLimiter(BOUNDS, 0);
    const refused: number[] = [];
    for (let at = 500; at < 8_500; at += STEP_MS) {
      if (limiter.take(ACCOUNT, UNITS, 1, at) > 0) refused.push(at);
    }
    expect(refused).toEqual([]);
  });

  it('keeps the bound in a window that spans a change of the accounting process', () => {
    const before = takeAboveQuota(new QuotaLimiter(BOUNDS, -20_000), 0, 10_000);
    const successor = new QuotaLimiter(BOUNDS, -20_000);
    successor.reset(10_000);
    const after = takeAboveQuota(successor, 10_000, 30_000);
    expect(maximumUnitsPerWindow([...before, ...after])).toBeLessThanOrEqual(ALLOWED_PER_WINDOW);
  });

  it('keeps the bound in every window while a partitioned third of the processes uses its shares', () => {
    const resetLimiter = (at: number): QuotaLimiter => {
      const limiter = new QuotaLimiter(BOUNDS, -20_000);
      limiter.reset(at);
      return limiter;
    };
    const cutAt = 4_000;
    const noticedAt = cutAt + 1_500;
    const scheduler = new QuotaLimiter(BOUNDS, -20_000);
    const taken = [
      ...takeAboveQuota(scheduler, 0, noticedAt),
      ...takeAboveQuota(scheduler, noticedAt, 20_000, 6 / 9),
      ...[1, 2, 3].flatMap(() => takeAboveQuota(resetLimiter(cutAt), cutAt, 20_000, 1 / 9)),
    ];
    expect(maximumUnitsPerWindow(taken)).toBeLessThanOrEqual(ALLOWED_PER_WINDOW);
  });

  it('makes refunded units available again', () => {
    const limiter = new QuotaLimiter(BOUNDS, -20_000);
    expect(limiter.take(ACCOUNT, 3_500, 1, 0)).toEqual(0);
    limiter.refund('office', 3_500, 0);
    expect(limiter.take(ACCOUNT, 3_500, 1, 0)).toEqual(0);
  });
});
