import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { QuotaAmount, QuotaAnswer } from './AccountBudget.ts';

/** Time for which a batch is asked ahead of need. */
const BATCH_AHEAD_MS = 100;
/** Unused requests and tokens go back after this long. */
const BATCH_EXPIRY_MS = 400;
/** Concurrency kept unused for this long goes back. */
const SPARE_EXPIRY_MS = 1_000;
/** A home that holds concurrency says so at least this often. */
const RENEW_INTERVAL_MS = 3_000;
/** After this long without a reply the question is asked again. */
const REPLY_TIMEOUT_MS = 500;
const RATE_WINDOW_MS = 1_000;
/** Most concurrency that is asked for ahead of need. */
const SPARE_CONCURRENCY = 4;

type QuotaReply = Extract<PeerMessage, { _tag: 'quotaReply' }>;

/** What one home holds of an account's limits, lent by the account's owner. */
export class AccountCache {
  private requests = 0;

  private tokens = 0;

  private concurrency = 0;

  private running = 0;

  private batchAt = 0;

  private lastRunningPeakAt = 0;

  private renewedAt = 0;

  private askedAt: number | undefined;

  private refusedUntil = 0;

  private admittedInWindow = 0;

  private tokensInWindow = 0;

  /** Requests and tokens that asked while a question was open; the next question covers them. */
  private queued = { requests: 0, tokens: 0 };

  private windowAt = 0;

  constructor(private readonly account: string) {}

  /** Requests of the account that this home has running. */
  inUse(): number {
    return this.running;
  }

  /** Tells how long the owner's refusal still holds, in ms. */
  refusedForMs(now: number): number {
    return Math.max(0, this.refusedUntil - now);
  }

  /** Takes one request out of what is held, if that is enough. */
  tryAdmit(tokens: number, now: number): boolean {
    const enough = this.requests >= 1 && this.tokens >= tokens && this.running < this.concurrency;
    if (!enough) return false;
    this.requests -= 1;
    this.tokens -= tokens;
    this.admit(tokens, now);
    return true;
  }

  /** Counts a request that some other budget admitted. */
  admit(tokens: number, now: number): void {
    this.running += 1;
    this.lastRunningPeakAt = now;
    if (now - this.windowAt > RATE_WINDOW_MS) {
      this.admittedInWindow = 0;
      this.tokensInWindow = 0;
      this.windowAt = now;
    }
    this.admittedInWindow += 1;
    this.tokensInWindow += tokens;
  }

  /** Ends a request; what it used differently from what was counted is settled with the owner. */
  release(unusedTokens: number): void {
    this.running = Math.max(0, this.running - 1);
    this.tokens += unusedTokens;
  }

  /** Asks for what a request lacks and a small batch ahead, unless a question is open. */
  requestBatch(tokens: number, now: number): PeerMessage | undefined {
    const isOpen = this.askedAt !== undefined && now - this.askedAt < REPLY_TIMEOUT_MS;
    if (isOpen) {
      this.queued.requests += 1;
      this.queued.tokens += tokens;
      return undefined;
    }
    const { queued } = this;
    this.queued = { requests: 0, tokens: 0 };
    this.askedAt = now;
    this.renewedAt = now;
    const ahead = BATCH_AHEAD_MS / RATE_WINDOW_MS;
    const requestsAhead = Math.max(queued.requests, Math.floor(this.admittedInWindow * ahead));
    const wish: QuotaAmount = {
      requests: Math.max(0, Math.ceil(1 - this.requests)) + requestsAhead,
      tokens:
        Math.max(0, tokens - this.tokens) + Math.max(queued.tokens, this.tokensInWindow * ahead),
      concurrency:
        Math.max(0, 1 + this.running - this.concurrency) +
        Math.max(queued.requests, Math.min(SPARE_CONCURRENCY, requestsAhead)),
    };
    return { _tag: 'quotaRequest', account: this.account, ...wish, held: this.concurrency };
  }

  /** Tells whether the owner left a question without a reply. */
  isUnanswered(now: number): boolean {
    return this.askedAt !== undefined && now - this.askedAt >= REPLY_TIMEOUT_MS;
  }

  /** Takes what the owner gave. */
  applyReply(reply: QuotaReply | QuotaAnswer, now: number): void {
    this.askedAt = undefined;
    this.refusedUntil = reply.retryAfterMs > 0 ? now + reply.retryAfterMs : 0;
    this.requests += reply.requests;
    this.tokens += reply.tokens;
    this.concurrency += reply.concurrency;
    this.batchAt = now;
    this.lastRunningPeakAt = now;
  }

  /** Forgets what another owner lent; what runs is reported to the new one. */
  changeOwner(now: number): PeerMessage | undefined {
    this.requests = 0;
    this.tokens = Math.min(0, this.tokens);
    this.concurrency = this.running;
    this.askedAt = undefined;
    this.refusedUntil = 0;
    return this.running > 0 ? this.renewal(now) : undefined;
  }

  /** Gives back what lies unused and renews what is held. */
  tick(now: number): readonly PeerMessage[] {
    const returned = this.surplus(now);
    const isDue = this.concurrency > 0 && now - this.renewedAt >= RENEW_INTERVAL_MS;
    return [...returned, ...(isDue ? [this.renewal(now)] : [])];
  }

  private renewal(now: number): PeerMessage {
    this.renewedAt = now;
    const nothing: QuotaAmount = { requests: 0, tokens: 0, concurrency: 0 };
    return { _tag: 'quotaRequest', account: this.account, ...nothing, held: this.concurrency };
  }

  private surplus(now: number): readonly PeerMessage[] {
    if (this.askedAt !== undefined) return [];
    const isStale = now - this.batchAt > BATCH_EXPIRY_MS;
    const isSpare = now - this.lastRunningPeakAt > SPARE_EXPIRY_MS;
    const requests = isStale ? this.requests : 0;
    const tokens = isStale ? this.tokens : 0;
    const concurrency = isSpare ? Math.max(0, this.concurrency - this.running) : 0;
    if (requests === 0 && tokens === 0 && concurrency === 0) return [];
    this.requests -= requests;
    this.tokens -= tokens;
    this.concurrency -= concurrency;
    return [{ _tag: 'quotaReturn', account: this.account, requests, tokens, concurrency }];
  }
}
