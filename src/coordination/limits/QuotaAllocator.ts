import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { ClientAccount } from '../../state/ClientAccount.ts';
import type { Action } from '../Action.ts';
import { AccountBudget } from './AccountBudget.ts';

/** Concurrency is released if its entry hasn't renewed it for this long; a running entry renews it. */
const ALLOCATION_EXPIRY_MS = 10_000;

type QuotaRequest = Extract<PeerMessage, { _tag: 'quotaRequest' }>;
type QuotaReturn = Extract<PeerMessage, { _tag: 'quotaReturn' }>;

/** Concurrency of one account that is allocated to one entry. */
interface ConcurrencyAllocation {
  readonly concurrency: number;
  /** When the entry last reported it, in ms. */
  readonly renewedAt: number;
}

/** One client account, with the budget for the whole system and the allocations from it. */
interface AccountState {
  readonly account: ClientAccount;
  readonly budget: AccountBudget;
  /** Allocated concurrency by incarnation of the entry. */
  readonly allocations: Map<string, ConcurrencyAllocation>;
}

const totalConcurrency = (allocations: ReadonlyMap<string, ConcurrencyAllocation>): number =>
  [...allocations.values()].reduce((sum, { concurrency }) => sum + concurrency, 0);

/**
 * Enforces the limits of client accounts as their owner. It allocates the quota of each account to
 * entries, from one budget per account for the whole system.
 */
export class QuotaAllocator {
  private accounts = new Map<string, AccountState>();

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
   * Allocates quota for an entry's request. The concurrency that the entry reports replaces what was
   * allocated to it before, so that a new owner of the account learns of it.
   *
   * @param from - the entry's incarnation
   * @param message - the requested amount, and the concurrency that the entry holds already
   * @param now - current time in ms
   * @returns the reply to send; none if the account is unknown
   */
  handleRequest(from: string, message: QuotaRequest, now: number): Action[] {
    const state = this.accounts.get(message.account);
    if (state === undefined) return [];
    const { budget, allocations } = state;
    allocations.set(from, { concurrency: message.held, renewedAt: now });
    const granted = budget.grant(message, totalConcurrency(allocations), now);
    const concurrency = message.held + granted.concurrency;
    allocations.set(from, { concurrency, renewedAt: now });
    const reply: PeerMessage = { _tag: 'quotaReply', account: message.account, ...granted };
    return [{ _tag: 'send', to: from, message: reply }];
  }

  /**
   * Takes back quota that an entry didn't use.
   *
   * @param from - the entry's incarnation
   * @param message - unused requests and tokens, and concurrency that the entry no longer holds
   * @param now - current time in ms
   */
  handleReturn(from: string, message: QuotaReturn, now: number): void {
    const state = this.accounts.get(message.account);
    if (state === undefined) return;
    state.budget.refund(message.requests, message.tokens, now);
    const known = state.allocations.get(from);
    if (known === undefined) return;
    const concurrency = Math.max(0, known.concurrency - message.concurrency);
    state.allocations.set(from, { concurrency, renewedAt: now });
  }

  /**
   * Releases the concurrency of an entry that is no longer live.
   *
   * @param incarnation - the entry's incarnation
   */
  removeEntry(incarnation: string): void {
    this.accounts.forEach(({ allocations }) => allocations.delete(incarnation));
  }

  /**
   * Releases concurrency that entries no longer renew.
   *
   * @param now - current time in ms
   */
  tick(now: number): void {
    this.accounts.forEach(({ allocations }) =>
      allocations.forEach(({ renewedAt }, incarnation) => {
        if (now - renewedAt > ALLOCATION_EXPIRY_MS) allocations.delete(incarnation);
      }),
    );
  }
}
