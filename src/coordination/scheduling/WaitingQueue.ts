import { Heap } from './Heap.ts';
import { isWaiting, type Ticket } from './Ticket.ts';

/** Virtual time by which an account may lead the lowest one before it is passed over. */
const FAIRNESS_QUANTUM_MS = 500;

const compareTickets = (a: Ticket, b: Ticket): number =>
  a.orderKey - b.orderKey || a.arrivalNumber - b.arrivalNumber;
const precedes = (a: Ticket, b: Ticket): boolean => compareTickets(a, b) < 0;

/** Removes ended tickets from the head; others are removed once they reach it. */
const removeEndedHead = (heap: Heap<Ticket>): void => {
  let first = heap.peek();
  while (first !== undefined && !isWaiting(first)) {
    heap.pop();
    first = heap.peek();
  }
};

interface AccountQueue {
  readonly heap: Heap<Ticket>;
  /**
   * Virtual time in ms: the sum of the idle service times of the account's started tickets, raised
   * to the tier's minimum when the account becomes active again.
   */
  virtualTimeMs: number;
}

interface TierQueue {
  readonly accounts: Map<string, AccountQueue>;
  /**
   * Lowest virtual time of the accounts with waiting tickets, in ms. An account that becomes active
   * again starts no lower, so that it has no credit for the time without requests.
   */
  minimumVirtualTimeMs: number;
  size: number;
}

/** How tickets are grouped by tier and client account. */
export interface QueueGrouping {
  readonly tierOf: (ticket: Ticket) => number;
  readonly accountOf: (ticket: Ticket) => string;
}

/**
 * Selects, among the accounts within a quantum of the lowest virtual time, the one whose first
 * ticket has the smallest sort key.
 */
const selectAccount = <A extends { virtualTimeMs: number }>(
  accounts: readonly A[],
  firstKeyOf: (account: A) => number | undefined,
): A | undefined => {
  const active = accounts.filter((account) => firstKeyOf(account) !== undefined);
  const lowestVirtualTimeMs = Math.min(...active.map(({ virtualTimeMs }) => virtualTimeMs));
  const withinQuantum = active.filter(
    ({ virtualTimeMs }) => virtualTimeMs <= lowestVirtualTimeMs + FAIRNESS_QUANTUM_MS,
  );
  return withinQuantum.reduce<A | undefined>((best, account) => {
    if (best === undefined) return account;
    return (firstKeyOf(account) ?? 0) < (firstKeyOf(best) ?? 0) ? account : best;
  }, undefined);
};

/**
 * Queue of waiting tickets: strict priority between tiers, fair queuing between the client accounts
 * of a tier, and the order of sort keys within an account.
 */
export class WaitingQueue {
  readonly #tiers = new Map<number, TierQueue>();

  readonly #grouping: QueueGrouping;

  /** @param grouping - gives a ticket's tier rank and client account */
  constructor(grouping: QueueGrouping) {
    this.#grouping = grouping;
  }

  /** @returns number of waiting tickets */
  get size(): number {
    return [...this.#tiers.values()].reduce((sum, { size }) => sum + size, 0);
  }

  /** @returns ranks of the tiers with waiting tickets, highest tier (lowest rank) first */
  tierRanks(): readonly number[] {
    return [...this.#tiers]
      .filter(([, { size }]) => size > 0)
      .map(([rank]) => rank)
      .sort((a, b) => a - b);
  }

  /**
   * Counts the waiting tickets of lower tiers.
   *
   * @param rank - a tier's rank
   * @returns number of waiting tickets with a greater rank
   */
  countLowerTiers(rank: number): number {
    return [...this.#tiers].reduce((sum, [tier, { size }]) => sum + (tier > rank ? size : 0), 0);
  }

  /**
   * Adds a waiting ticket, or returns one that was taken but couldn't be placed.
   *
   * @param ticket - the ticket
   */
  add(ticket: Ticket): void {
    const tier = this.#tierQueueOf(ticket);
    const name = this.#grouping.accountOf(ticket);
    const account = tier.accounts.get(name) ?? { heap: new Heap(precedes), virtualTimeMs: 0 };
    if (account.heap.size === 0)
      account.virtualTimeMs = Math.max(account.virtualTimeMs, tier.minimumVirtualTimeMs);
    account.heap.push(ticket);
    tier.accounts.set(name, account);
    tier.size += 1;
  }

  /**
   * Stops counting an ended ticket. It is removed from its heap later.
   *
   * @param ticket - the ticket, whose state must be `ended` already
   */
  remove(ticket: Ticket): void {
    this.#tierQueueOf(ticket).size -= 1;
  }

  /**
   * Removes the ticket of a tier that is to be placed next.
   *
   * @param rank - the tier's rank
   * @returns the ticket, or undefined if none is waiting
   */
  takeNext(rank: number): Ticket | undefined {
    const tier = this.#tiers.get(rank);
    if (tier === undefined || tier.size === 0) return undefined;
    tier.accounts.forEach(({ heap }) => removeEndedHead(heap));
    const account = selectAccount([...tier.accounts.values()], ({ heap }) => heap.peek()?.orderKey);
    const ticket = account?.heap.pop();
    if (ticket === undefined) return undefined;
    tier.size -= 1;
    return ticket;
  }

  /**
   * Charges a started ticket's work to its client account.
   *
   * @param ticket - the ticket that was granted
   */
  charge(ticket: Ticket): void {
    const tier = this.#tierQueueOf(ticket);
    const account = tier.accounts.get(this.#grouping.accountOf(ticket));
    if (account === undefined) return;
    account.virtualTimeMs += ticket.idleServiceMs;
    const active = [...tier.accounts.values()].filter(({ heap }) => heap.size > 0);
    if (active.length > 0)
      tier.minimumVirtualTimeMs = Math.min(...active.map(({ virtualTimeMs }) => virtualTimeMs));
    else tier.minimumVirtualTimeMs = account.virtualTimeMs;
  }

  /** Removes the ended tickets that are still in the heaps. */
  compact(): void {
    this.#tiers.forEach(({ accounts }) => accounts.forEach(({ heap }) => heap.filter(isWaiting)));
  }

  /** @returns all waiting tickets in placement order */
  inPlacementOrder(): readonly Ticket[] {
    return this.tierRanks().flatMap((rank) =>
      WaitingQueue.#tierInPlacementOrder(this.#tiers.get(rank)),
    );
  }

  /**
   * Lists the waiting tickets of lower tiers.
   *
   * @param rank - a tier's rank
   * @returns the tickets with a greater rank, the lowest tier first
   */
  inLowerTiers(rank: number): readonly Ticket[] {
    return this.tierRanks()
      .filter((tier) => tier > rank)
      .reverse()
      .flatMap((tier) => [...(this.#tiers.get(tier)?.accounts.values() ?? [])])
      .flatMap(({ heap }) => heap.items().filter(isWaiting));
  }

  static #tierInPlacementOrder(tier: TierQueue | undefined): readonly Ticket[] {
    if (tier === undefined) return [];
    const accounts = [...tier.accounts.values()]
      .filter(({ heap }) => heap.size > 0)
      .map(({ heap, virtualTimeMs }) => ({
        tickets: heap.items().filter(isWaiting).sort(compareTickets),
        next: 0,
        virtualTimeMs,
      }));
    return Array.from({ length: tier.size }).flatMap(() => {
      const account = selectAccount(accounts, ({ tickets, next }) => tickets[next]?.orderKey);
      const ticket = account?.tickets[account.next];
      if (account === undefined || ticket === undefined) return [];
      account.next += 1;
      account.virtualTimeMs += ticket.idleServiceMs;
      return [ticket];
    });
  }

  #tierQueueOf(ticket: Ticket): TierQueue {
    const rank = this.#grouping.tierOf(ticket);
    const existing = this.#tiers.get(rank);
    if (existing !== undefined) return existing;
    const created: TierQueue = { accounts: new Map(), minimumVirtualTimeMs: 0, size: 0 };
    this.#tiers.set(rank, created);
    return created;
  }
}
