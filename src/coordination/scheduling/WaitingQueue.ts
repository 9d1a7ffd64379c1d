import { Heap } from './Heap.ts';
import { isWaiting, type Ticket } from './Ticket.ts';

/** Work by which accounts may be apart before the one ahead has to stand back, in ms. */
const FAIRNESS_QUANTUM_MS = 500;

const compareTickets = (a: Ticket, b: Ticket): number =>
  a.orderKey - b.orderKey || a.arrivalNumber - b.arrivalNumber;
const isBefore = (a: Ticket, b: Ticket): boolean => compareTickets(a, b) < 0;

/** Takes ended tickets off the top; those further down go when they come up. */
const dropEnded = (heap: Heap<Ticket>): void => {
  let first = heap.peek();
  while (first !== undefined && !isWaiting(first)) {
    heap.pop();
    first = heap.peek();
  }
};

interface AccountQueue {
  readonly heap: Heap<Ticket>;
  /** Work started for the account, on a clock shared by the tier's accounts. */
  servedMs: number;
}

interface TierQueue {
  readonly accounts: Map<string, AccountQueue>;
  /** Clock value of the account that is furthest behind; one that comes back starts there. */
  clockMs: number;
  size: number;
}

/** How tickets are told apart before their own keys count. */
export interface QueueGrouping {
  readonly tierOf: (ticket: Ticket) => number;
  readonly accountOf: (ticket: Ticket) => string;
}

/** Gives the account whose turn it is: of those not ahead of the others, the one with the first ticket. */
const pickAccount = <A extends { servedMs: number }>(
  accounts: readonly A[],
  firstKeyOf: (account: A) => number | undefined,
): A | undefined => {
  const active = accounts.filter((account) => firstKeyOf(account) !== undefined);
  const least = Math.min(...active.map(({ servedMs }) => servedMs));
  const level = active.filter(({ servedMs }) => servedMs <= least + FAIRNESS_QUANTUM_MS);
  return level.reduce<A | undefined>((best, account) => {
    if (best === undefined) return account;
    return (firstKeyOf(account) ?? 0) < (firstKeyOf(best) ?? 0) ? account : best;
  }, undefined);
};

/** Waiting tickets: by tier, fair between the accounts of a tier, by key within an account. */
export class WaitingQueue {
  readonly #tiers = new Map<number, TierQueue>();

  readonly #grouping: QueueGrouping;

  /** @param grouping - which tier and account a ticket counts for */
  constructor(grouping: QueueGrouping) {
    this.#grouping = grouping;
  }

  /** @returns number of tickets that wait */
  get size(): number {
    return [...this.#tiers.values()].reduce((sum, { size }) => sum + size, 0);
  }

  /** @returns the tiers in which something waits, first served first */
  tierRanks(): readonly number[] {
    return [...this.#tiers]
      .filter(([, { size }]) => size > 0)
      .map(([rank]) => rank)
      .sort((a, b) => a - b);
  }

  /** @returns number of tickets that wait in lower tiers than the one named */
  countBelow(rank: number): number {
    return [...this.#tiers].reduce((sum, [tier, { size }]) => sum + (tier > rank ? size : 0), 0);
  }

  /** Adds a waiting ticket, also one that was taken and couldn't be placed. */
  add(ticket: Ticket): void {
    const tier = this.#tier(ticket);
    const name = this.#grouping.accountOf(ticket);
    const account = tier.accounts.get(name) ?? { heap: new Heap(isBefore), servedMs: 0 };
    if (account.heap.size === 0) account.servedMs = Math.max(account.servedMs, tier.clockMs);
    account.heap.push(ticket);
    tier.accounts.set(name, account);
    tier.size += 1;
  }

  /** Leaves a waiting ticket out; its state must have become `ended` before. */
  remove(ticket: Ticket): void {
    this.#tier(ticket).size -= 1;
  }

  /** @returns the ticket of the tier that is to be placed next, taken out */
  take(rank: number): Ticket | undefined {
    const tier = this.#tiers.get(rank);
    if (tier === undefined || tier.size === 0) return undefined;
    tier.accounts.forEach(({ heap }) => dropEnded(heap));
    const account = pickAccount([...tier.accounts.values()], ({ heap }) => heap.peek()?.orderKey);
    const ticket = account?.heap.pop();
    if (ticket === undefined) return undefined;
    tier.size -= 1;
    return ticket;
  }

  /** Counts work that was started for a ticket's account. */
  charge(ticket: Ticket): void {
    const tier = this.#tier(ticket);
    const account = tier.accounts.get(this.#grouping.accountOf(ticket));
    if (account === undefined) return;
    account.servedMs += ticket.workMs;
    const active = [...tier.accounts.values()].filter(({ heap }) => heap.size > 0);
    if (active.length > 0) tier.clockMs = Math.min(...active.map(({ servedMs }) => servedMs));
    else tier.clockMs = account.servedMs;
  }

  /** Frees the memory of ended tickets that are still inside. */
  compact(): void {
    this.#tiers.forEach(({ accounts }) => accounts.forEach(({ heap }) => heap.filter(isWaiting)));
  }

  /** @returns all waiting tickets in the order in which they would be placed */
  inOrder(): readonly Ticket[] {
    return this.tierRanks().flatMap((rank) => WaitingQueue.#tierInOrder(this.#tiers.get(rank)));
  }

  /** @returns all waiting tickets of tiers below the one named, the lowest tier first */
  below(rank: number): readonly Ticket[] {
    return this.tierRanks()
      .filter((tier) => tier > rank)
      .reverse()
      .flatMap((tier) => [...(this.#tiers.get(tier)?.accounts.values() ?? [])])
      .flatMap(({ heap }) => heap.items().filter(isWaiting));
  }

  static #tierInOrder(tier: TierQueue | undefined): readonly Ticket[] {
    if (tier === undefined) return [];
    const accounts = [...tier.accounts.values()]
      .filter(({ heap }) => heap.size > 0)
      .map(({ heap, servedMs }) => ({
        tickets: heap.items().filter(isWaiting).sort(compareTickets),
        next: 0,
        servedMs,
      }));
    return Array.from({ length: tier.size }).flatMap(() => {
      const account = pickAccount(accounts, ({ tickets, next }) => tickets[next]?.orderKey);
      const ticket = account?.tickets[account.next];
      if (account === undefined || ticket === undefined) return [];
      account.next += 1;
      account.servedMs += ticket.workMs;
      return [ticket];
    });
  }

  #tier(ticket: Ticket): TierQueue {
    const rank = this.#grouping.tierOf(ticket);
    const held = this.#tiers.get(rank);
    if (held !== undefined) return held;
    const created: TierQueue = { accounts: new Map(), clockMs: 0, size: 0 };
    this.#tiers.set(rank, created);
    return created;
  }
}
