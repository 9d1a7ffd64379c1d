import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { QuotaAmount, QuotaGrant } from './AccountBudget.ts';

/** A batch requests in advance the quota that is expected to be used within this time. */
const PREFETCH_MS = 100;
/** Unused requests and tokens are returned to the owner after this long. */
const BATCH_EXPIRY_MS = 400;
/** Spare concurrency is returned to the owner after this long without an admission. */
const SPARE_CONCURRENCY_EXPIRY_MS = 1_000;
/** Interval at which an entry renews the concurrency that it holds. */
const RENEWAL_INTERVAL_MS = 3_000;
/** Time after which the reply to a quota request is overdue. */
const REPLY_TIMEOUT_MS = 500;
/** Window over which admitted requests and tokens are counted to size a batch. */
const RATE_WINDOW_MS = 1_000;
/** Maximum concurrency that a batch requests in advance, based on the rate of admissions. */
const MAXIMUM_PREFETCHED_CONCURRENCY = 4;

type QuotaReply = Extract<PeerMessage, { _tag: 'quotaReply' }>;

/** Quota of one client account that its owner has granted to one entry. */
export class CachedQuota {
  private requests = 0;

  private tokens = 0;

  private concurrency = 0;

  private running = 0;

  private batchReceivedAt = 0;

  private concurrencyUsedAt = 0;

  private renewedAt = 0;

  private requestedAt: number | undefined;

  private refusedUntil = 0;

  private requestsInWindow = 0;

  private tokensInWindow = 0;

  /**
   * Requests and tokens that were needed while a quota request was pending; the next quota request
   * includes them.
   */
  private deferred = { requests: 0, tokens: 0 };

  private windowStartedAt = 0;

  /**
   * @param account - name of the client account
   */
  constructor(private readonly account: string) {}

  /** Number of requests of the account that this entry is running. */
  runningRequests(): number {
    return this.running;
  }

  /**
   * Returns how long the owner's last refusal remains in force.
   *
   * @param now - current time in ms
   * @returns the time in ms, 0 if there is none
   */
  remainingRefusalMs(now: number): number {
    return Math.max(0, this.refusedUntil - now);
  }

  /**
   * Admits one request if the granted quota covers it.
   *
   * @param tokens - expected tokens of the request
   * @param now - current time in ms
   * @returns whether the request was admitted
   */
  tryAdmit(tokens: number, now: number): boolean {
    const isCovered =
      this.requests >= 1 && this.tokens >= tokens && this.running < this.concurrency;
    if (!isCovered) return false;
    this.requests -= 1;
    this.tokens -= tokens;
    this.countAdmitted(tokens, now);
    return true;
  }

  /**
   * Counts an admitted request, including one that a local budget admitted.
   *
   * @param tokens - expected tokens of the request
   * @param now - current time in ms
   */
  countAdmitted(tokens: number, now: number): void {
    this.running += 1;
    this.concurrencyUsedAt = now;
    if (now - this.windowStartedAt > RATE_WINDOW_MS) {
      this.requestsInWindow = 0;
      this.tokensInWindow = 0;
      this.windowStartedAt = now;
    }
    this.requestsInWindow += 1;
    this.tokensInWindow += tokens;
  }

  /**
   * Ends a running request. The difference between its expected and its used tokens returns to the
   * granted quota.
   *
   * @param unusedTokens - expected less used tokens; negative if it used more than expected
   */
  release(unusedTokens: number): void {
    this.running = Math.max(0, this.running - 1);
    this.tokens += unusedTokens;
  }

  /**
   * Requests the quota that is missing for one request, plus a small batch for later requests. While
   * another quota request is pending, the need is deferred to the next one.
   *
   * @param tokens - expected tokens of the request
   * @param now - current time in ms
   * @returns the quota request to send, or undefined if the need was deferred
   */
  requestBatch(tokens: number, now: number): PeerMessage | undefined {
    const isPending = this.requestedAt !== undefined && now - this.requestedAt < REPLY_TIMEOUT_MS;
    if (isPending) {
      this.deferred.requests += 1;
      this.deferred.tokens += tokens;
      return undefined;
    }
    const { deferred } = this;
    this.deferred = { requests: 0, tokens: 0 };
    this.requestedAt = now;
    this.renewedAt = now;
    const prefetchFraction = PREFETCH_MS / RATE_WINDOW_MS;
    const prefetchedRequests = Math.max(
      deferred.requests,
      Math.floor(this.requestsInWindow * prefetchFraction),
    );
    const needed: QuotaAmount = {
      requests: Math.max(0, Math.ceil(1 - this.requests)) + prefetchedRequests,
      tokens:
        Math.max(0, tokens - this.tokens) +
        Math.max(deferred.tokens, this.tokensInWindow * prefetchFraction),
      concurrency:
        Math.max(0, 1 + this.running - this.concurrency) +
        Math.max(deferred.requests, Math.min(MAXIMUM_PREFETCHED_CONCURRENCY, prefetchedRequests)),
    };
    return { _tag: 'quotaRequest', account: this.account, ...needed, held: this.concurrency };
  }

  /**
   * Returns whether the owner failed to reply to a quota request in time.
   *
   * @param now - current time in ms
   * @returns true if the reply is overdue
   */
  isReplyOverdue(now: number): boolean {
    return this.requestedAt !== undefined && now - this.requestedAt >= REPLY_TIMEOUT_MS;
  }

  /**
   * Adds the quota that the owner granted, or records its refusal.
   *
   * @param reply - the owner's reply
   * @param now - current time in ms
   */
  applyReply(reply: QuotaReply | QuotaGrant, now: number): void {
    this.requestedAt = undefined;
    this.refusedUntil = reply.retryAfterMs > 0 ? now + reply.retryAfterMs : 0;
    this.requests += reply.requests;
    this.tokens += reply.tokens;
    this.concurrency += reply.concurrency;
    this.batchReceivedAt = now;
    this.concurrencyUsedAt = now;
  }

  /**
   * Discards the quota that the previous owner granted, except a debt of tokens and the concurrency
   * of running requests. Another owner or a local budget grants quota from now on.
   *
   * @param now - current time in ms
   * @returns the renewal that reports running requests to a new owner, if any run
   */
  resetForNewSource(now: number): PeerMessage | undefined {
    this.requests = 0;
    this.tokens = Math.min(0, this.tokens);
    this.concurrency = this.running;
    this.requestedAt = undefined;
    this.refusedUntil = 0;
    return this.running > 0 ? this.buildRenewal(now) : undefined;
  }

  /**
   * Returns unused quota and renews the held concurrency where due.
   *
   * @param now - current time in ms
   * @returns the messages to send to the owner
   */
  tick(now: number): readonly PeerMessage[] {
    const returned = this.returnUnused(now);
    const isDue = this.concurrency > 0 && now - this.renewedAt >= RENEWAL_INTERVAL_MS;
    return [...returned, ...(isDue ? [this.buildRenewal(now)] : [])];
  }

  private buildRenewal(now: number): PeerMessage {
    this.renewedAt = now;
    const noQuota: QuotaAmount = { requests: 0, tokens: 0, concurrency: 0 };
    return { _tag: 'quotaRequest', account: this.account, ...noQuota, held: this.concurrency };
  }

  private returnUnused(now: number): readonly PeerMessage[] {
    if (this.requestedAt !== undefined) return [];
    const isBatchExpired = now - this.batchReceivedAt > BATCH_EXPIRY_MS;
    const isConcurrencyIdle = now - this.concurrencyUsedAt > SPARE_CONCURRENCY_EXPIRY_MS;
    const requests = isBatchExpired ? this.requests : 0;
    const tokens = isBatchExpired ? this.tokens : 0;
    const concurrency = isConcurrencyIdle ? Math.max(0, this.concurrency - this.running) : 0;
    if (requests === 0 && tokens === 0 && concurrency === 0) return [];
    this.requests -= requests;
    this.tokens -= tokens;
    this.concurrency -= concurrency;
    return [{ _tag: 'quotaReturn', account: this.account, requests, tokens, concurrency }];
  }
}
