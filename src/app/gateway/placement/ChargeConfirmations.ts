/** The charged tickets of one gateway. */
export interface GatewayCharges {
  /** Incarnation of the gateway. */
  readonly owner: string;
  readonly ids: readonly string[];
}

/**
 * The tickets of other gateways that the scheduler charged to their quotas and hasn't confirmed yet. A gateway
 * can't tell by itself: a ticket may not have arrived although the scheduler is heard.
 */
export class ChargeConfirmations {
  readonly #unconfirmed = new Map<string, string[]>();

  /** Records that a ticket of a gateway was charged. */
  add(owner: string, id: string): void {
    const ids = this.#unconfirmed.get(owner) ?? [];
    ids.push(id);
    this.#unconfirmed.set(owner, ids);
  }

  /**
   * Takes what is to be confirmed. A ticket that was decided needs no confirmation.
   *
   * @param isWaiting - whether a ticket wasn't decided yet
   * @returns the tickets by gateway
   */
  take(isWaiting: (id: string) => boolean): GatewayCharges[] {
    const charges = [...this.#unconfirmed].map(([owner, ids]) => ({
      owner,
      ids: ids.filter(isWaiting),
    }));
    this.#unconfirmed.clear();
    return charges.filter(({ ids }) => ids.length > 0);
  }
}
