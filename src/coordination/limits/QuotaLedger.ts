import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { ClientAccount } from '../../state/ClientAccount.ts';
import type { Action } from '../Action.ts';
import { AccountBudget } from './AccountBudget.ts';

/** Holdings of a home that says nothing for this long are taken back; a running one renews them. */
const HOLDING_EXPIRY_MS = 10_000;

type QuotaRequest = Extract<PeerMessage, { _tag: 'quotaRequest' }>;
type QuotaReturn = Extract<PeerMessage, { _tag: 'quotaReturn' }>;

interface Holding {
  readonly concurrency: number;
  readonly renewedAt: number;
}

interface OwnedAccount {
  readonly account: ClientAccount;
  readonly budget: AccountBudget;
  /** Concurrency held, by home incarnation. */
  readonly holdings: Map<string, Holding>;
}

const concurrencyOf = (holdings: ReadonlyMap<string, Holding>): number =>
  [...holdings.values()].reduce((sum, { concurrency }) => sum + concurrency, 0);

/** The owner's side of client-account limits: one budget per account for the whole system. */
export class QuotaAllocator {
  private owned = new Map<string, OwnedAccount>();

  /**
   * Takes over the accounts of a configuration. Budgets of accounts that stay keep their levels.
   *
   * @param accounts - all accounts of the bundle
   * @param now - present time in ms
   */
  configure(accounts: readonly ClientAccount[], now: number): void {
    this.owned = new Map(
      accounts.map((account) => {
        const held = this.owned.get(account.name);
        if (held === undefined) {
          const budget = new AccountBudget(account, 1, now);
          return [account.name, { account, budget, holdings: new Map<string, Holding>() }];
        }
        held.budget.reconfigure(account, 1, now);
        return [account.name, { ...held, account }];
      }),
    );
  }

  /**
   * Answers a home's wish for a batch.
   *
   * @param from - the home's incarnation
   * @param message - what it asks for and what it holds already
   * @param now - present time in ms
   * @returns the reply
   */
  handleRequest(from: string, message: QuotaRequest, now: number): Action[] {
    const owned = this.owned.get(message.account);
    if (owned === undefined) return [];
    const { budget, holdings } = owned;
    holdings.set(from, { concurrency: message.held, renewedAt: now });
    const answer = budget.draw(message, concurrencyOf(holdings), now);
    const concurrency = message.held + answer.concurrency;
    holdings.set(from, { concurrency, renewedAt: now });
    const reply: PeerMessage = { _tag: 'quotaReply', account: message.account, ...answer };
    return [{ _tag: 'send', to: from, message: reply }];
  }

  /**
   * Takes back what a home didn't use.
   *
   * @param from - the home's incarnation
   * @param message - requests and tokens given back, and concurrency that it no longer holds
   * @param now - present time in ms
   */
  handleReturn(from: string, message: QuotaReturn, now: number): void {
    const owned = this.owned.get(message.account);
    if (owned === undefined) return;
    owned.budget.putBack(message.requests, message.tokens, now);
    const held = owned.holdings.get(from);
    if (held === undefined) return;
    const concurrency = Math.max(0, held.concurrency - message.concurrency);
    owned.holdings.set(from, { concurrency, renewedAt: now });
  }

  /**
   * Frees what a home held that is gone.
   *
   * @param incarnation - the home's incarnation
   */
  removeHome(incarnation: string): void {
    this.owned.forEach(({ holdings }) => holdings.delete(incarnation));
  }

  /**
   * Frees holdings that their homes no longer renew.
   *
   * @param now - present time in ms
   */
  tick(now: number): void {
    this.owned.forEach(({ holdings }) =>
      holdings.forEach(({ renewedAt: heardAt }, home) => {
        if (now - heardAt > HOLDING_EXPIRY_MS) holdings.delete(home);
      }),
    );
  }
}
