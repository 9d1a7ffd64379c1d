import type { QuotaLimiter } from '../../../coordination/gateway/index.ts';
import type {
  PlacementRefusalReason,
  PlacementTicket,
} from '../../../protocol/peer/GatewayMessages.ts';
import type { Account } from '../../../state/gateway/index.ts';

/** Charges tickets to the quotas of their accounts. */
export class TicketQuotas {
  readonly #limiter: QuotaLimiter;

  readonly #findAccount: (name: string) => Account | undefined;

  constructor(limiter: QuotaLimiter, findAccount: (name: string) => Account | undefined) {
    this.#limiter = limiter;
    this.#findAccount = findAccount;
  }

  /**
   * Charges a ticket, unless it was charged before or has no account.
   *
   * @param ticket - the ticket
   * @param share - fraction of the quota that this process may use, from 0 to 1
   * @param now - present time in ms, monotonic
   * @returns time until the quota allows it, in ms; 0 if it is charged or needs no charge
   */
  take({ account: name, quotaUnits }: PlacementTicket, share: number, now: number): number {
    const account = name === undefined ? undefined : this.#findAccount(name);
    if (account === undefined || quotaUnits <= 0) return 0;
    return this.#limiter.take(account, quotaUnits, share, now);
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
