import type { GatewayContext } from '../GatewayContext.ts';
import type { HedgeAccount } from '../../../coordination/gateway/index.ts';
import type { RoutedRequest } from './RoutedRequest.ts';

/** Returns a client account in the form in which accounts' shares are compared. */
export const toHedgeAccount = (account: RoutedRequest['account']): HedgeAccount => ({
  name: account?.name ?? '',
  quota: account?.quota.ratePerSecond ?? 0,
});

/** Whether requests of a route may run again after an endpoint may have run them. */
export const isRepeatable = ({ kind, resumable }: RoutedRequest['route']): boolean =>
  kind === 'safe' || (kind === 'stream' && resumable);

/** Counts the executions of one request, and decides whether another one is allowed. */
export class RequestRetries {
  readonly #context: GatewayContext;

  readonly #request: RoutedRequest;

  readonly #deadlineAt: number;

  /** Attempts in which an endpoint may have executed the request, those of the forwarding peer included. */
  executions: number;

  /** Whether the request counts in the budget of retries, here or at a peer. */
  isCounted: boolean;

  /**
   * @param context - components of the process
   * @param request - the request
   * @param deadlineAt - its deadline in ms, monotonic
   */
  constructor(context: GatewayContext, request: RoutedRequest, deadlineAt: number) {
    this.#context = context;
    this.#request = request;
    this.#deadlineAt = deadlineAt;
    this.executions = request.forwarded?.executions ?? 0;
    this.isCounted = request.forwarded?.isCounted ?? false;
  }

  /** Counts the request in the budget of retries of this process, once. */
  countRequest(): void {
    if (this.isCounted) return;
    this.isCounted = true;
    const { retryBudget, hedging, now } = this.#context;
    const { service, account } = this.#request;
    retryBudget.recordRequest(service.name, now());
    hedging?.policy.recordRequest(service.name, toHedgeAccount(account), now());
  }

  /**
   * Whether the route, its attempt limit and the deadline allow another execution.
   *
   * @param executions - attempts in which an endpoint may have executed the request
   */
  mayRepeat(executions = this.executions): boolean {
    const { route } = this.#request;
    const hasTime = this.#deadlineAt > this.#context.now();
    return isRepeatable(route) && executions < route.maximumAttempts && hasTime;
  }

  /** Charges the retry budget of the service; returns false if it is used up. */
  tryCharge(): boolean {
    const { retryBudget, memberCount, now } = this.#context;
    return retryBudget.tryRetry(this.#request.service.name, memberCount(), now());
  }
}
