import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { Bundle } from '../../state/Bundle.ts';
import type { ClientAccount } from '../../state/ClientAccount.ts';
import type { EntrySettings } from '../../state/EntrySettings.ts';
import type { Action } from '../Action.ts';
import { AccountBudget } from './AccountBudget.ts';
import { AccountCache } from './AccountCache.ts';

/** What came of asking for leave to take one request on. */
export type QuotaOutcome =
  | { readonly _tag: 'admitted' }
  /** The owner has to be heard: carry the actions out, and ask again after the next reply. */
  | { readonly _tag: 'asked'; readonly actions: Action[] }
  | { readonly _tag: 'refused'; readonly retryAfterMs: number };

/** What a cache is made from. */
export interface QuotaCacheOptions {
  /** Own incarnation. */
  readonly self: string;
  readonly policy?: EntrySettings['policy']['accountLimits'];
}

type Authority =
  | { readonly _tag: 'owner'; readonly incarnation: string }
  | { readonly _tag: 'local'; readonly budget: AccountBudget };

interface CachedAccount {
  readonly account: ClientAccount;
  readonly quota: AccountCache;
  readonly authority: Authority;
}

/**
 * The home's side of client-account limits. Batches are lent by the account's owner; while the
 * owner can't be reached, each entry keeps to its even share of the limits.
 */
export class QuotaCache {
  private accounts = new Map<string, CachedAccount>();

  private readonly self: string;

  private liveMembers = 1;

  private readonly policy: EntrySettings['policy']['accountLimits'];

  constructor({ self, policy = 'product' }: QuotaCacheOptions) {
    this.self = self;
    this.policy = policy;
  }

  /**
   * Takes over the accounts of a bundle.
   *
   * @param bundle - the bundle in force
   * @param now - present time in ms
   */
  configure(bundle: Bundle, now: number): void {
    this.accounts = new Map(
      bundle.accounts.map((account) => {
        const held = this.accounts.get(account.name);
        const cache = held?.quota ?? new AccountCache(account.name);
        const authority = this.authorityFor(account, held, now);
        return [account.name, { account, cache, authority }];
      }),
    );
  }

  /**
   * Asks for leave to take one request on. An owner that is silent is passed over, as one that can't
   * be reached is.
   *
   * @param name - the client account
   * @param tokens - prompt and expected output tokens together
   * @param now - present time in ms
   * @returns whether it may go on; an account that isn't configured is refused
   */
  acquire(name: string, tokens: number, now: number): QuotaOutcome {
    if (this.accounts.get(name)?.quota.isUnanswered(now) === true) {
      this.fallBackToEvenShare(name, this.liveMembers, now);
    }
    const entry = this.accounts.get(name);
    if (entry === undefined) return { _tag: 'refused', retryAfterMs: 0 };
    const { quota: cache, authority } = entry;
    if (authority._tag === 'local')
      return QuotaCache.drawLocal(cache, authority.budget, tokens, now);
    if (cache.tryAdmit(tokens, now)) return { _tag: 'admitted' };
    const retryAfterMs = cache.refusedForMs(now);
    if (retryAfterMs > 0) return { _tag: 'refused', retryAfterMs };
    return {
      _tag: 'asked',
      actions: QuotaCache.sendTo(authority, cache.requestBatch(tokens, now)),
    };
  }

  /**
   * Ends a request that was admitted.
   *
   * @param name - the client account
   * @param tokensUsed - tokens that it cost in fact
   * @param now - present time in ms
   * @param tokensCounted - tokens named when it was admitted, if they differ
   */
  release(name: string, tokensUsed: number, now: number, tokensCounted = tokensUsed): void {
    const entry = this.accounts.get(name);
    if (entry === undefined) return;
    const unused = tokensCounted - tokensUsed;
    const isLocal = entry.authority._tag === 'local';
    if (entry.authority._tag === 'local') entry.authority.budget.putBack(0, unused, now);
    entry.quota.release(isLocal ? 0 : unused);
  }

  /**
   * Takes an owner's reply. Afterwards `acquire` is worth trying again for what waits.
   *
   * @param reply - the owner's reply
   * @param now - present time in ms
   */
  handleReply(reply: Extract<PeerMessage, { _tag: 'quotaReply' }>, now: number): void {
    const entry = this.accounts.get(reply.account);
    if (entry?.authority._tag === 'owner') entry.quota.applyReply(reply, now);
  }

  /**
   * Names the owner of an account, also after it could not be reached.
   *
   * @param name - the client account
   * @param owner - the owner's incarnation
   * @param now - present time in ms
   * @returns what tells a new owner of the requests that run here
   */
  setOwner(name: string, owner: string, now: number): Action[] {
    const entry = this.accounts.get(name);
    if (entry === undefined || this.policy === 'per_entry') return [];
    const { authority } = entry;
    if (authority._tag === 'owner' && authority.incarnation === owner) return [];
    const next: Authority = { _tag: 'owner', incarnation: owner };
    this.accounts.set(name, { ...entry, authority: next });
    return QuotaCache.sendTo(next, entry.quota.changeOwner(now));
  }

  /**
   * Notes how many entries share the limits.
   *
   * @param count - live entries, this one included
   */
  setLiveMemberCount(count: number): void {
    this.liveMembers = count;
  }

  /**
   * Falls back to an even share of the limits while an account's owner can't be reached.
   *
   * @param name - the client account
   * @param liveMembers - entries that share the limits, this one included
   * @param now - present time in ms
   */
  fallBackToEvenShare(name: string, liveMembers: number, now: number): void {
    const entry = this.accounts.get(name);
    if (entry === undefined || entry.authority._tag === 'local') return;
    const budget = new AccountBudget(entry.account, 1 / Math.max(1, liveMembers), now);
    entry.quota.changeOwner(now);
    this.accounts.set(name, { ...entry, authority: { _tag: 'local', budget } });
  }

  /**
   * Gives back what lies unused and renews what is held.
   *
   * @param now - present time in ms
   * @returns messages to the owners
   */
  tick(now: number): Action[] {
    return [...this.accounts.values()].flatMap(({ authority, quota: cache }) =>
      authority._tag === 'local'
        ? []
        : cache.tick(now).flatMap((message) => QuotaCache.sendTo(authority, message)),
    );
  }

  private authorityFor(
    account: ClientAccount,
    held: CachedAccount | undefined,
    now: number,
  ): Authority {
    if (held !== undefined && this.policy === 'product') return held.authority;
    if (this.policy === 'per_entry') {
      return { _tag: 'local', budget: new AccountBudget(account, 1, now) };
    }
    return { _tag: 'owner', incarnation: this.self };
  }

  private static drawLocal(
    cache: AccountCache,
    budget: AccountBudget,
    tokens: number,
    now: number,
  ): QuotaOutcome {
    const answer = budget.draw({ requests: 1, tokens, concurrency: 1 }, cache.inUse(), now);
    if (answer.retryAfterMs > 0) return { _tag: 'refused', retryAfterMs: answer.retryAfterMs };
    cache.admit(tokens, now);
    return { _tag: 'admitted' };
  }

  private static sendTo(
    authority: Extract<Authority, { _tag: 'owner' }>,
    message: PeerMessage | undefined,
  ): Action[] {
    return message === undefined ? [] : [{ _tag: 'send', to: authority.incarnation, message }];
  }
}
