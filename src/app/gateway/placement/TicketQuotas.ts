import {
  QuotaQueue,
  type QuotaLimiter,
  type QuotaRequest,
} from '../../../coordination/gateway/index.ts';
import type {
  PlacementRefusalReason,
  PlacementTicket,
} from '../../../protocol/peer/GatewayMessages.ts';
import type { Account } from '../../../state/gateway/index.ts';

interface QueuedTicket extends QuotaRequest {
  readonly ticket: PlacementTicket;
}

/** A ticket that waited for its quota and is charged now. */
export interface ChargedTicket {
  readonly owner: string;
  readonly ticket: PlacementTicket;
  /** When it was offered, in ms. */
  readonly arrivedAt: number;
}

/** Charges tickets to the quotas of their accounts, and holds those that a quota allows within moments. */
export class TicketQuotas {
  readonly #limiter: QuotaLimiter;

  readonly #queue: QuotaQueue<QueuedTicket>;

  readonly #findAccount: (name: string) => Account | undefined;

  constructor(limiter: QuotaLimiter, findAccount: (name: string) => Account | undefined) {
    this.#limiter = limiter;
    this.#queue = new QuotaQueue(limiter);
    this.#findAccount = findAccount;
  }

  /** Number of tickets that wait for their quotas. */
  get waitingCount(): number {
    return this.#queue.size;
  }

  /**
   * Charges a ticket, unless it was charged before or has no account, or holds it until its quota allows it.
   *
   * @param owner - incarnation of the ticket's gateway
   * @param ticket - the ticket
   * @param share - fraction of the quota that this process may use, from 0 to 1
   * @param now - present time in ms, monotonic
   */
  offer(
    owner: string,
    ticket: PlacementTicket,
    share: number,
    now: number,
  ): ReturnType<QuotaQueue<QueuedTicket>['offer']> {
    const { id, account: name, quotaUnits: units, remainingMs } = ticket;
    const account = name === undefined ? undefined : this.#findAccount(name);
    if (account === undefined || units <= 0) return { _tag: 'charged' };
    return this.#queue.offer({ id, owner, account, units, share, remainingMs, ticket }, now);
  }

  /** Charges the held tickets whose quotas allow them now, and returns them. */
  release(now: number): ChargedTicket[] {
    return this.#queue
      .release(now)
      .map(({ request: { owner, ticket }, arrivedAt }) => ({ owner, ticket, arrivedAt }));
  }

  /** Whether a ticket is held. */
  has(id: string): boolean {
    return this.#queue.has(id);
  }

  /** Returns the gateways that have held tickets. */
  ownersWaiting(): ReadonlySet<string> {
    return new Set(this.#queue.requests.map(({ owner }) => owner));
  }

  /** Drops a held ticket. */
  withdraw(id: string): void {
    this.#queue.retain((request) => request.id !== id);
  }

  /** Drops the held tickets of gateways that aren't to be kept. */
  retainOwners(isKept: (owner: string) => boolean): void {
    this.#queue.retain(({ owner }) => isKept(owner));
  }

  /** Takes the charge of a refused ticket back; one that was refused for its quota has none. */
  refund(
    { account, quotaUnits }: PlacementTicket,
    reason: PlacementRefusalReason,
    now: number,
  ): void {
    if (reason === 'quota' || quotaUnits === 0 || account === undefined) return;
    this.#limiter.refund(account, quotaUnits, now);
  }
}
