import type { ClientAccount } from '../../state/ClientAccount.ts';
import { TokenBucket } from './TokenBucket.ts';

/**
 * Burst of a token bucket, in seconds at its rate. It bounds by how much usage can exceed the rate
 * within any time window.
 */
const BURST_SECONDS = 0.25;
/** Retry delay while all concurrency is in use; some is freed whenever a request ends. */
const CONCURRENCY_RETRY_MS = 500;

/** An amount of quota: requests, tokens and concurrent requests. */
export interface QuotaAmount {
  readonly requests: number;
  readonly tokens: number;
  readonly concurrency: number;
}

/** What a budget grants; `retryAfterMs` is above 0 if it grants nothing. */
export interface QuotaGrant extends QuotaAmount {
  readonly retryAfterMs: number;
}

const burstFor = (ratePerSecond: number): number => Math.max(1, ratePerSecond * BURST_SECONDS);

/** Enforces a share of the rate and concurrency limits of one client account. */
export class AccountBudget {
  private readonly requests: TokenBucket;

  private readonly tokens: TokenBucket;

  private concurrency: number;

  /**
   * @param account - the account with its limits
   * @param share - share of the limits that this budget grants, 0 to 1
   * @param now - current time in ms
   */
  constructor(account: ClientAccount, share: number, now: number) {
    const requestRate = account.requestsPerSecond * share;
    const tokenRate = account.tokensPerSecond * share;
    this.requests = new TokenBucket(requestRate, burstFor(requestRate), now);
    this.tokens = new TokenBucket(tokenRate, burstFor(tokenRate), now);
    this.concurrency = Math.max(1, Math.floor(account.concurrency * share));
  }

  /**
   * Applies changed limits without granting a new burst.
   *
   * @param account - the account with its limits
   * @param share - share of the limits that this budget grants, 0 to 1
   * @param now - current time in ms
   */
  reconfigure(account: ClientAccount, share: number, now: number): void {
    const requestRate = account.requestsPerSecond * share;
    const tokenRate = account.tokensPerSecond * share;
    this.requests.reconfigure(requestRate, burstFor(requestRate), now);
    this.tokens.reconfigure(tokenRate, burstFor(tokenRate), now);
    this.concurrency = Math.max(1, Math.floor(account.concurrency * share));
  }

  /**
   * Grants as much of the requested amount as is available. Tokens are granted in proportion to the
   * granted requests.
   *
   * @param requested - the requested amount
   * @param concurrencyInUse - concurrency already granted from this budget and not returned
   * @param now - current time in ms
   * @returns the granted amount, or the delay after which to request again
   */
  grant(requested: QuotaAmount, concurrencyInUse: number, now: number): QuotaGrant {
    const freeConcurrency = Math.max(0, this.concurrency - concurrencyInUse);
    const retryAfterMs = this.retryDelayMs(requested, freeConcurrency, now);
    if (retryAfterMs > 0) return { requests: 0, tokens: 0, concurrency: 0, retryAfterMs };
    const concurrency = Math.min(requested.concurrency, freeConcurrency);
    const requests = Math.min(requested.requests, Math.floor(this.requests.available(now)));
    const grantedFraction = requested.requests > 0 ? requests / requested.requests : 1;
    const tokens = requested.tokens * grantedFraction;
    this.requests.consume(requests, now);
    this.tokens.consume(tokens, now);
    return { requests, tokens, concurrency, retryAfterMs: 0 };
  }

  /**
   * Returns unused requests and tokens to the budget.
   *
   * @param requests - unused requests
   * @param tokens - unused tokens; a negative number consumes more
   * @param now - current time in ms
   */
  refund(requests: number, tokens: number, now: number): void {
    this.requests.refund(requests, now);
    this.tokens.refund(tokens, now);
  }

  private retryDelayMs(requested: QuotaAmount, freeConcurrency: number, now: number): number {
    if (requested.concurrency > 0 && freeConcurrency === 0) return CONCURRENCY_RETRY_MS;
    const forRequests = requested.requests > 0 ? this.requests.msUntilLevel(1, now) : 0;
    // Any positive level suffices, as a request may take the token bucket into debt.
    const forTokens = requested.tokens > 0 ? this.tokens.msUntilLevel(Number.EPSILON, now) : 0;
    return Math.ceil(Math.max(forRequests, forTokens));
  }
}
