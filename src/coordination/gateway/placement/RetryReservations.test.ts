import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RetryReservations } from './RetryReservations.ts';

describe('RetryReservations', () => {
  const period = { earliestMs: 1_000, latestMs: 2_000 };

  // Guards against callers that are rejected together and come back together.
  it('spreads retries evenly over the period in which callers can retry', () => {
    const reservations = new RetryReservations();
    const times = Array.from({ length: 30 }, () => reservations.reserve('model', 50, period, 0));
    expect(Math.min(...times)).toBeLessThan(1_100);
    expect(Math.max(...times)).toBeGreaterThan(1_900);
    const perInterval = Array.from(
      { length: 10 },
      (_, index) => times.filter((at) => Math.floor(at / 100) === 10 + index).length,
    );
    expect(perInterval).toEqual(Array.from({ length: 10 }, () => 3));
  });

  it('keeps every time within its period', () => {
    const reservations = new RetryReservations();
    const times = Array.from({ length: 50 }, (_, index) =>
      reservations.reserve('model', 50, { earliestMs: 333, latestMs: 351 }, index * 7),
    );
    expect(times.every((at) => at >= 333 && at <= 351)).toEqual(true);
  });

  it('counts long requests by their engine time', () => {
    const reservations = new RetryReservations();
    const short = { earliestMs: 1_000, latestMs: 1_200 };
    reservations.reserve('model', 300, short, 0);
    const next = [1, 2, 3].map(() => reservations.reserve('model', 100, short, 0));
    expect(next).toEqual([1_050, 1_050, 1_050]);
  });
});
