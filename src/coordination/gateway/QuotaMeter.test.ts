import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Account } from '../../state/gateway/index.ts';
import { QuotaMeter } from './QuotaMeter.ts';

const BOUNDS = { windowMs: 8_000, overshoot: 0.1, slack: 10_000 };
const ACCOUNT: Account = {
  name: 'office',
  keys: ['key'],
  quota: { unit: 'tokens', ratePerSecond: 1_000, burst: 1_000, defaultTokens: 200 },
};
/** (1,000 x 8 + 1,000) x 1.1 + 10,000 */
const ALLOWED_PER_WINDOW = 19_900;
const STEP_MS = 100;
const UNITS = 100;

/** Asks for more than the quota at every step, and gives what was taken at which time. */
const pressOn = (meter: QuotaMeter, fromMs: number, toMs: number, share = 1) => {
  const taken: { readonly at: number; readonly units: number }[] = [];
  for (let at = fromMs; at < toMs; at += STEP_MS) {
    for (let count = 0; count < 20; count += 1) {
      if (meter.take(ACCOUNT, UNITS, share, at) === 0) taken.push({ at, units: UNITS });
    }
  }
  return taken;
};

const mostInAWindow = (taken: readonly { readonly at: number; readonly units: number }[]): number =>
  Math.max(
    ...taken.map(({ at: end }) =>
      taken
        .filter(({ at }) => at <= end && at > end - BOUNDS.windowMs)
        .reduce((sum, { units }) => sum + units, 0),
    ),
  );

describe('QuotaMeter', () => {
  it('keeps every window within the bound under pressure', () => {
    const taken = pressOn(new QuotaMeter(BOUNDS, -20_000), 0, 40_000);
    expect(mostInAWindow(taken)).toBeLessThanOrEqual(ALLOWED_PER_WINDOW);
  });

  it('gives out what the bound allows beyond the nominal rate', () => {
    const taken = pressOn(new QuotaMeter(BOUNDS, -20_000), 0, 8_000);
    const units = taken.reduce((sum, use) => sum + use.units, 0);
    expect(units).toBeGreaterThan(0.85 * ALLOWED_PER_WINDOW);
    expect(units).toBeGreaterThan(BOUNDS.windowMs + ACCOUNT.quota.burst);
  });

  it('keeps the window that spans a kill of all processes at once', () => {
    const before = pressOn(new QuotaMeter(BOUNDS, -20_000), 0, 10_000);
    const after = pressOn(new QuotaMeter(BOUNDS, 11_000), 11_000, 30_000);
    expect(mostInAWindow([...before, ...after])).toBeLessThanOrEqual(ALLOWED_PER_WINDOW);
  });

  it('refuses nothing of an account within its rate after a start', () => {
    const meter = new QuotaMeter(BOUNDS, 0);
    const refused: number[] = [];
    for (let at = 500; at < 8_500; at += STEP_MS) {
      if (meter.take(ACCOUNT, UNITS, 1, at) > 0) refused.push(at);
    }
    expect(refused).toEqual([]);
  });

  it('keeps the window that spans a change of the process that counts', () => {
    const before = pressOn(new QuotaMeter(BOUNDS, -20_000), 0, 10_000);
    const successor = new QuotaMeter(BOUNDS, -20_000);
    successor.reset(10_000);
    const after = pressOn(successor, 10_000, 30_000);
    expect(mostInAWindow([...before, ...after])).toBeLessThanOrEqual(ALLOWED_PER_WINDOW);
  });

  it('keeps every window where a third of the processes go on alone within their shares', () => {
    const restarted = (at: number): QuotaMeter => {
      const meter = new QuotaMeter(BOUNDS, -20_000);
      meter.reset(at);
      return meter;
    };
    const cutAt = 4_000;
    const noticedAt = cutAt + 1_500;
    const scheduler = new QuotaMeter(BOUNDS, -20_000);
    const taken = [
      ...pressOn(scheduler, 0, noticedAt),
      ...pressOn(scheduler, noticedAt, 20_000, 6 / 9),
      ...[1, 2, 3].flatMap(() => pressOn(restarted(cutAt), cutAt, 20_000, 1 / 9)),
    ];
    expect(mostInAWindow(taken)).toBeLessThanOrEqual(ALLOWED_PER_WINDOW);
  });

  it('takes refunded units back', () => {
    const meter = new QuotaMeter(BOUNDS, -20_000);
    expect(meter.take(ACCOUNT, 3_500, 1, 0)).toEqual(0);
    meter.refund('office', 3_500, 0);
    expect(meter.take(ACCOUNT, 3_500, 1, 0)).toEqual(0);
  });
});
