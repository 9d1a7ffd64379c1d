import { EndpointLimits, QuotaLimiter, RetryBudget } from '../../coordination/gateway/index.ts';
import type { GatewaySettings } from '../../state/gateway/index.ts';

/**
 * Makes what keeps this process within bounds that count the requests of all gateways.
 *
 * @param settings - the bounds of the deployment, and whether another process may have used a part of them
 * @param now - present time in ms, monotonic
 */
export const makeGroupBounds = (
  { bounds, isFirstStart }: Pick<GatewaySettings, 'bounds' | 'isFirstStart'>,
  now: number,
) => ({
  endpointLimits: new EndpointLimits(),
  quotas: new QuotaLimiter(
    {
      windowMs: bounds.quotaWindowMs,
      overshoot: bounds.quotaOvershoot,
      slack: bounds.quotaSlack,
    },
    now,
  ),
  retryBudget: new RetryBudget(
    {
      ratio: bounds.retryRatio,
      slack: bounds.retrySlack,
      windowMs: bounds.retryWindowMs,
    },
    isFirstStart === true ? undefined : now,
  ),
});
