import { EndpointLimits, QuotaLimiter, RetryBudget } from '../../coordination/gateway/index.ts';
import type { GatewayBounds } from '../../state/gateway/index.ts';

/**
 * Makes what keeps this process within bounds that count the requests of all gateways.
 *
 * @param bounds - the bounds of the deployment
 * @param now - present time in ms, monotonic
 */
export const makeGroupBounds = (bounds: GatewayBounds, now: number) => ({
  endpointLimits: new EndpointLimits(),
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
