import { QuotaLimiter, RetryBudget } from '../../coordination/gateway/index.ts';
import type { GatewayBounds } from '../../state/gateway/index.ts';

/** Counts of quotas and retries. */
export interface Budgets {
  readonly quotas: QuotaLimiter;
  readonly retryBudget: RetryBudget;
}

/**
 * Creates the counts that enforce the bounds of the deployment.
 *
 * @param bounds - the bounds
 * @param now - present time in ms, monotonic
 */
export const makeBudgets = (bounds: GatewayBounds, now: number): Budgets => ({
  quotas: new QuotaLimiter(
    {
      windowMs: bounds.quotaWindowMs,
      overshoot: bounds.quotaOvershoot,
      slack: bounds.quotaSlack,
    },
    now,
  ),
  retryBudget: new RetryBudget({
    ratio: bounds.retryRatio,
    slack: bounds.retrySlack,
    windowMs: bounds.retryWindowMs,
  }),
});
