import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RetryBudget } from './RetryBudget.ts';

const SERVICE = 'plain';

describe('RetryBudget', () => {
  // Guards against retries for requests of a window that ended while the machine was suspended (BUDGET).
  it('allows none for requests from before a time that the clock did not count', () => {
    const budget = new RetryBudget({ ratio: 0.5, slack: 0, windowMs: 10_000 });
    for (let request = 0; request < 10; request += 1) budget.recordRequest(SERVICE, 0);
    expect(budget.tryRetry(SERVICE, 1, 0)).toEqual(true);
    budget.forgetRequests();
    expect(budget.tryRetry(SERVICE, 1, 0)).toEqual(false);
  });
});
