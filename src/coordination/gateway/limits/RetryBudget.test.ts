import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RetryBudget } from './RetryBudget.ts';

const SERVICE = 'plain';

describe('RetryBudget', () => {
  // Guards against retries for requests of a window that ended while the machine was suspended (BUDGET).
  it('allows none for requests from before a time that the clock did not count', () => {
    const budget = new RetryBudget({ ratio: 0.5, slack: 0, windowMs: 10_000 }, undefined);
    for (let request = 0; request < 10; request += 1) budget.recordRequest(SERVICE, 0);
    expect(budget.tryRetry(SERVICE, 1, 0)).toEqual(true);
    budget.forgetRequests();
    expect(budget.tryRetry(SERVICE, 1, 0)).toEqual(false);
  });

  // BUDGET: after a kill of all processes the slack was there again, while the retries before the kill still counted.
  it('keeps the retries before and after restarts of all processes within the bound', () => {
    const bounds = { ratio: 0.2, slack: 52, windowMs: 10_000 };
    const members = 6;
    const sent: number[] = [];
    const asked: number[] = [];
    /** Requests every 100 ms at each process, all of which are to be sent again. */
    const play = (from: number, until: number, restartedAt: number | undefined): void => {
      const budgets = Array.from({ length: members }, () => new RetryBudget(bounds, restartedAt));
      for (let now = from; now < until; now += 100)
        budgets.forEach((budget) => {
          asked.push(now);
          budget.recordRequest(SERVICE, now);
          if (budget.tryRetry(SERVICE, members, now)) sent.push(now);
        });
    };
    play(0, 3_000, undefined);
    play(3_000, 6_000, 3_000);
    play(6_000, 30_000, 6_000);
    const within = (times: readonly number[], end: number): number =>
      times.filter((at) => at > end - bounds.windowMs && at <= end).length;
    sent.forEach((at) => {
      const most = bounds.ratio * within(asked, at) + bounds.slack;
      expect([at, within(sent, at) <= most]).toEqual([at, true]);
    });
    expect(within(sent, 29_900)).toBeGreaterThan(0.8 * (0.2 * 600 + 52) - members);
  });
});
