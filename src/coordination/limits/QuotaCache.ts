import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { Bundle } from '../../state/Bundle.ts';
import type { ClientAccount } from '../../state/ClientAccount.ts';
import type { EntrySettings } from '../../state/EntrySettings.ts';
import type { Action } from '../Action.ts';
import { AccountBudget } from './AccountBudget.ts';
import { CachedQuota } from './CachedQuota.ts';

/** Outcome of acquiring quota for one request. */
export type QuotaOutcome =
  | { readonly _tag: 'admitted' }
  /** The owner must grant quota first: execute the actions, and acquire again after its next reply. */
  | { readonly _tag: 'asked'; readonly actions: Action[] }
  | { readonly _tag: 'refused'; readonly retryAfterMs: number };

/** Constructor options of a quota cache. */
export interface QuotaCacheOptions {
  /** Incarnation of this process. */
  readonly self: string;
  /**
   * `product`, the default: the owner of an account grants quota to all entries. `per_entry`: each
   * entry applies the full limits by itself.
   */
  readonly policy?: EntrySettings['policy']['accountLimits'];
}

/** Where the quota of an account comes from: its owner, or a budget of this process. */
type QuotaSource =
  | { readonly _tag: 'owner'; readonly incarnation: string }
  | { readonly _tag: 'local'; readonly budget: AccountBudget };

interface CachedAccount {
  readonly account: ClientAccount;
  readonly quota: CachedQuota;
  readonly source: QuotaSource;
}

/**
 * Enforces the limits of client accounts in one entry. The owner of an account grants quota in
 * batches. While the owner is unreachable, each entry applies an even share of the limits by itself.
 */
export class QuotaCache {
  private accounts = new Map<string, CachedAccount>();

  private readonly self: string;

  private liveMemberCount = 1;

  private readonly policy: EntrySettings['policy']['accountLimits'];

  /**
   * @param options - the incarnation of this process, and the policy
   */
  constructor({ self, policy = 'product' }: QuotaCacheOptions) {
    this.self = self;
    this.policy = policy;
  }

  /**
   * Applies the accounts of a bundle.
   *
   * @param bundle - the bundle in force
   * @param now - current time in ms
   */
  configure(bundle: Bundle, now: number): void {
    this.accounts = new Map(
      bundle.accounts.map((account) => {
        const known = this.accounts.get(account.name);
        const quota = known?.quota ?? new CachedQuota(account.name);
        const source = this.sourceFor(account, known, now);
        return [account.name, { account, quota, source }];
      }),
    );
  }

  /**
   * Acquires quota for one request. An owner whose reply is overdue is treated as unreachable.
   *
   * @param name - the client account
   * @param tokens - prompt and expected output tokens together
   * @param now - current time in ms
   * @returns the outcome; a request of an unknown account is refused
   */
  acquire(name: string, tokens: number, now: number): QuotaOutcome {
    if (this.accounts.get(name)?.quota.isReplyOverdue(now) === true) {
      this.fallBackToEvenShare(name, this.liveMemberCount, now);
    }
    const cached = this.accounts.get(name);
    if (cached === undefined) return { _tag: 'refused', retryAfterMs: 0 };
    const { quota, source } = cached;
    if (source._tag === 'local')
      return QuotaCache.acquireLocally(quota, source.budget, tokens, now);
    if (quota.tryAdmit(tokens, now)) return { _tag: 'admitted' };
    const retryAfterMs = quota.remainingRefusalMs(now);
    if (retryAfterMs > 0) return { _tag: 'refused', retryAfterMs };
    return {
      _tag: 'asked',
      actions: QuotaCache.sendToOwner(source, quota.requestBatch(tokens, now)),
    };
  }

  /**
   * Ends an admitted request, and corrects the tokens counted at admission to those used.
   *
   * @param name - the client account
   * @param tokensUsed - tokens that the request used
   * @param now - current time in ms
   * @param tokensCounted - tokens counted at admission, if different
   */
  release(name: string, tokensUsed: number, now: number, tokensCounted = tokensUsed): void {
    const cached = this.accounts.get(name);
    if (cached === undefined) return;
    const unused = tokensCounted - tokensUsed;
    const isLocal = cached.source._tag === 'local';
    if (cached.source._tag === 'local') cached.source.budget.refund(0, unused, now);
    cached.quota.release(isLocal ? 0 : unused);
  }

  /**
   * Handles an owner's reply. Waiting requests should call `acquire` again afterwards.
   *
   * @param reply - the owner's reply
   * @param now - current time in ms
   */
  handleReply(reply: Extract<PeerMessage, { _tag: 'quotaReply' }>, now: number): void {
    const cached = this.accounts.get(reply.account);
    if (cached?.source._tag === 'owner') cached.quota.applyReply(reply, now);
  }

  /**
   * Sets the owner of an account, also to return from an even share to an owner.
   *
   * @param name - the client account
   * @param owner - the owner's incarnation
   * @param now - current time in ms
   * @returns the message that reports running requests to a new owner, if any run
   */
  setOwner(name: string, owner: string, now: number): Action[] {
    const cached = this.accounts.get(name);
    if (cached === undefined || this.policy === 'per_entry') return [];
    const { source } = cached;
    if (source._tag === 'owner' && source.incarnation === owner) return [];
    const newSource: QuotaSource = { _tag: 'owner', incarnation: owner };
    this.accounts.set(name, { ...cached, source: newSource });
    return QuotaCache.sendToOwner(newSource, cached.quota.resetForNewSource(now));
  }

  /**
   * Sets the number of entries that share the limits.
   *
   * @param count - live entries, this one included
   */
  setLiveMemberCount(count: number): void {
    this.liveMemberCount = count;
  }

  /**
   * Falls back to an even share of the limits while the owner of an account is unreachable.
   *
   * @param name - the client account
   * @param liveMemberCount - number of live entries that share the limits, this one included
   * @param now - current time in ms
   */
  fallBackToEvenShare(name: string, liveMemberCount: number, now: number): void {
    const cached = this.accounts.get(name);
    if (cached === undefined || cached.source._tag === 'local') return;
    const budget = new AccountBudget(cached.account, 1 / Math.max(1, liveMemberCount), now);
    cached.quota.resetForNewSource(now);
    this.accounts.set(name, { ...cached, source: { _tag: 'local', budget } });
  }

  /**
   * Returns unused quota and renews held concurrency where due.
   *
   * @param now - current time in ms
   * @returns the messages to send to the owners
   */
  tick(now: number): Action[] {
    return [...this.accounts.values()].flatMap(({ source, quota }) =>
      source._tag === 'local'
        ? []
        : quota.tick(now).flatMap((message) => QuotaCache.sendToOwner(source, message)),
    );
  }

  private sourceFor(
    account: ClientAccount,
    known: CachedAccount | undefined,
    now: number,
  ): QuotaSource {
    if (known !== undefined && this.policy === 'product') return known.source;
    if (this.policy === 'per_entry') {
      return { _tag: 'local', budget: new AccountBudget(account, 1, now) };
    }
    // This process counts as the owner until `setOwner` is called.
    return { _tag: 'owner', incarnation: this.self };
  }

  private static acquireLocally(
    quota: CachedQuota,
    budget: AccountBudget,
    tokens: number,
    now: number,
  ): QuotaOutcome {
    const granted = budget.grant(
      { requests: 1, tokens, concurrency: 1 },
      quota.runningRequests(),
      now,
    );
    if (granted.retryAfterMs > 0) return { _tag: 'refused', retryAfterMs: granted.retryAfterMs };
    quota.countAdmitted(tokens, now);
    return { _tag: 'admitted' };
  }

  private static sendToOwner(
    source: Extract<QuotaSource, { _tag: 'owner' }>,
    message: PeerMessage | undefined,
  ): Action[] {
    return message === undefined ? [] : [{ _tag: 'send', to: source.incarnation, message }];
  }
}
