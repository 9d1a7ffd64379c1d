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
export interface QuotaAnswer extends QuotaAmount {
  readonly retryAfterMs: number;
}

const burstOf = (ratePerSecond: number): number => Math.max(1, ratePerSecond * BURST_SECONDS);

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
    this.requests = new TokenBucket(requestRate, burstOf(requestRate), now);
    this.tokens = new TokenBucket(tokenRate, burstOf(tokenRate), now);
    this.concurrency = Math.max(1, Math.floor(account.concurrency * share));
  }

  /** Takes over changed limits without giving a new burst. */
  reconfigure(account: ClientAccount, share: number, now: number): void {
    const requestRate = account.requestsPerSecond * share;
    const tokenRate = account.tokensPerSecond * share;
    this.requests.reconfigure(requestRate, burstOf(requestRate), now);
    this.tokens.reconfigure(tokenRate, burstOf(tokenRate), now);
    this.concurrency = Math.max(1, Math.floor(account.concurrency * share));
  }

  /**
   * Gives as much of a wish as there is.
   *
   * @param wish - what is asked; at least one request is needed for anything to be given
   * @param inUse - concurrency in use by everyone below this budget
   * @param now - present time in ms
   * @returns what was given, or the time after which to ask again
   */
  draw(wish: QuotaAmount, inUse: number, now: number): QuotaAnswer {
    const free = Math.max(0, this.concurrency - inUse);
    const retryAfterMs = this.waitFor(wish, free, now);
    if (retryAfterMs > 0) return { requests: 0, tokens: 0, concurrency: 0, retryAfterMs };
    const concurrency = Math.min(wish.concurrency, free);
    const requests = Math.min(wish.requests, Math.floor(this.requests.available(now)));
    const part = wish.requests > 0 ? requests / wish.requests : 1;
    const tokens = wish.tokens * part;
    this.requests.take(requests, now);
    this.tokens.take(tokens, now);
    return { requests, tokens, concurrency, retryAfterMs: 0 };
  }

  /** Takes back requests and tokens that were not used; negative tokens are a debt. */
  putBack(requests: number, tokens: number, now: number): void {
    this.requests.refund(requests, now);
    this.tokens.refund(tokens, now);
  }

  private waitFor(wish: QuotaAmount, free: number, now: number): number {
    if (wish.concurrency > 0 && free === 0) return CONCURRENCY_RETRY_MS;
    const forRequests = wish.requests > 0 ? this.requests.waitFor(1, now) : 0;
    const forTokens = wish.tokens > 0 ? this.tokens.waitFor(Number.EPSILON, now) : 0;
    return Math.ceil(Math.max(forRequests, forTokens));
  }
}
