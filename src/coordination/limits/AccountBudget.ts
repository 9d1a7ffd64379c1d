import type { ClientAccount } from '../../state/ClientAccount.ts';
import { TokenBucket } from './TokenBucket.ts';

/** Share of a second's rate that may be saved up; it bounds the overshoot over a measured span. */
const BURST_SECONDS = 0.25;
/** What a caller is told to wait when only concurrency is short; an ending request frees it. */
const CONCURRENCY_RETRY_MS = 500;

/** What is asked of a budget or given by it. */
export interface QuotaAmount {
  readonly requests: number;
  readonly tokens: number;
  readonly concurrency: number;
}

/** A budget's answer; `retryAfterMs` is set where nothing was given. */
export interface QuotaGrant extends QuotaAmount {
  readonly retryAfterMs: number;
}

const burstFor = (ratePerSecond: number): number => Math.max(1, ratePerSecond * BURST_SECONDS);

/** The limits of one client account over whatever part of the system this budget speaks for. */
export class AccountBudget {
  private readonly requests: TokenBucket;

  private readonly tokens: TokenBucket;

  private concurrency: number;

  /**
   * @param account - the account's limits
   * @param share - part of the limits that the budget holds, 0 to 1
   * @param now - present time in ms
   */
  constructor(account: ClientAccount, share: number, now: number) {
    const requestRate = account.requestsPerSecond * share;
    const tokenRate = account.tokensPerSecond * share;
    this.requests = new TokenBucket(requestRate, burstFor(requestRate), now);
    this.tokens = new TokenBucket(tokenRate, burstFor(tokenRate), now);
    this.concurrency = Math.max(1, Math.floor(account.concurrency * share));
  }

  /** Takes over changed limits without giving a new burst. */
  reconfigure(account: ClientAccount, share: number, now: number): void {
    const requestRate = account.requestsPerSecond * share;
    const tokenRate = account.tokensPerSecond * share;
    this.requests.reconfigure(requestRate, burstFor(requestRate), now);
    this.tokens.reconfigure(tokenRate, burstFor(tokenRate), now);
    this.concurrency = Math.max(1, Math.floor(account.concurrency * share));
  }

  /**
   * Gives as much of a wish as there is.
   *
   * @param requested - what is asked; at least one request is needed for anything to be given
   * @param concurrencyInUse - concurrency in use by everyone below this budget
   * @param now - present time in ms
   * @returns what was given, or the time after which to ask again
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

  /** Takes back requests and tokens that were not used; negative tokens are a debt. */
  refund(requests: number, tokens: number, now: number): void {
    this.requests.refund(requests, now);
    this.tokens.refund(tokens, now);
  }

  private retryDelayMs(requested: QuotaAmount, freeConcurrency: number, now: number): number {
    if (requested.concurrency > 0 && freeConcurrency === 0) return CONCURRENCY_RETRY_MS;
    const forRequests = requested.requests > 0 ? this.requests.timeUntilLevel(1, now) : 0;
    const forTokens = requested.tokens > 0 ? this.tokens.timeUntilLevel(Number.EPSILON, now) : 0;
    return Math.ceil(Math.max(forRequests, forTokens));
  }
}
