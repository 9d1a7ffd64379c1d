import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { ClientAccount } from '../../state/ClientAccount.ts';
import type { Action } from '../Action.ts';
import { AccountBudget } from './AccountBudget.ts';

/** Concurrency that its home hasn't renewed for this long is released; running homes renew it. */
const ALLOCATION_EXPIRY_MS = 10_000;

type QuotaRequest = Extract<PeerMessage, { _tag: 'quotaRequest' }>;
type QuotaReturn = Extract<PeerMessage, { _tag: 'quotaReturn' }>;

/** Concurrency of one account that is allocated to one home. */
interface ConcurrencyAllocation {
  readonly concurrency: number;
  /** When the home last reported it, in ms. */
  readonly renewedAt: number;
}

interface OwnedAccount {
  readonly account: ClientAccount;
  readonly budget: AccountBudget;
  /** Allocated concurrency by home incarnation. */
  readonly allocations: Map<string, ConcurrencyAllocation>;
}

const totalConcurrency = (allocations: ReadonlyMap<string, ConcurrencyAllocation>): number =>
  [...allocations.values()].reduce((sum, { concurrency }) => sum + concurrency, 0);

/**
 * Owner's side of client-account limits. It allocates the quota of each account to homes, from one
 * budget per account for the whole system.
 */
export class QuotaAllocator {
  private accounts = new Map<string, OwnedAccount>();

  /**
   * Applies the accounts of a configuration. Accounts that remain keep the levels of their budgets.
   *
   * @param accounts - all accounts of the bundle
   * @param now - current time in ms
   */
  configure(accounts: readonly ClientAccount[], now: number): void {
    this.accounts = new Map(
      accounts.map((account) => {
        const known = this.accounts.get(account.name);
        if (known === undefined) {
          const budget = new AccountBudget(account, 1, now);
          return [
            account.name,
            { account, budget, allocations: new Map<string, ConcurrencyAllocation>() },
          ];
        }
        known.budget.reconfigure(account, 1, now);
        return [account.name, { ...known, account }];
      }),
    );
  }

  /**
   * Allocates quota for a home's request. The concurrency that the home reports replaces what was
   * allocated to it before, so that an owner new to the account learns of it.
   *
   * @param from - the home's incarnation
   * @param message - the requested amount, and the concurrency that the home holds already
   * @param now - current time in ms
   * @returns the reply to send; none if the account is unknown
   */
  handleRequest(from: string, message: QuotaRequest, now: number): Action[] {
    const owned = this.accounts.get(message.account);
    if (owned === undefined) return [];
    const { budget, allocations } = owned;
    allocations.set(from, { concurrency: message.held, renewedAt: now });
    const granted = budget.grant(message, totalConcurrency(allocations), now);
    const concurrency = message.held + granted.concurrency;
    allocations.set(from, { concurrency, renewedAt: now });
    const reply: PeerMessage = { _tag: 'quotaReply', account: message.account, ...granted };
    return [{ _tag: 'send', to: from, message: reply }];
  }

  /**
   * Takes back quota that a home didn't use.
   *
   * @param from - the home's incarnation
   * @param message - unused requests and tokens, and concurrency that the home no longer holds
   * @param now - current time in ms
   */
  handleReturn(from: string, message: QuotaReturn, now: number): void {
    const owned = this.accounts.get(message.account);
    if (owned === undefined) return;
    owned.budget.refund(message.requests, message.tokens, now);
    const known = owned.allocations.get(from);
    if (known === undefined) return;
    const concurrency = Math.max(0, known.concurrency - message.concurrency);
    owned.allocations.set(from, { concurrency, renewedAt: now });
  }

  /**
   * Releases the concurrency of a home that is no longer live.
   *
   * @param incarnation - the home's incarnation
   */
  removeHome(incarnation: string): void {
    this.accounts.forEach(({ allocations }) => allocations.delete(incarnation));
  }

  /**
   * Releases concurrency that its homes no longer renew.
   *
   * @param now - current time in ms
   */
  tick(now: number): void {
    this.accounts.forEach(({ allocations }) =>
      allocations.forEach(({ renewedAt }, home) => {
        if (now - renewedAt > ALLOCATION_EXPIRY_MS) allocations.delete(home);
      }),
    );
  }
}
