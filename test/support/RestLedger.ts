/** A gateway is bound so long after it was asked for rest. */
const GRACE_MS = 500;

interface Rest {
  readonly gateway: number;
  readonly at: number;
  readonly forMs: number;
}

/** The rests that one endpoint asked of gateways, judged by the users' rules BUDGET and DRAIN. */
export class RestLedger {
  readonly #rests: Rest[] = [];

  readonly #leavingSince = new Map<number, number>();

  readonly #arrivals: { readonly gateway: number; readonly sentAt: number; readonly at: number }[] =
    [];

  /** Records a request that reached the endpoint, and when its caller sent it. */
  arrived(gateway: number, sentAt: number, at: number): void {
    this.#arrivals.push({ gateway, sentAt, at });
  }

  /** Records that the endpoint rejected a request and wants nothing from its gateway for a time in ms. */
  askedForRest(gateway: number, at: number, forMs: number): void {
    this.#rests.push({ gateway, at, forMs });
  }

  /** Records that the endpoint told a gateway that it leaves. */
  toldLeaving(gateway: number, at: number): void {
    if (!this.#leavingSince.has(gateway)) this.#leavingSince.set(gateway, at);
  }

  get restCount(): number {
    return this.#rests.length;
  }

  /** Most requests in one rest, of those that aren't excused. */
  mostInRest(isExcused: (gateway: number, from: number, to: number) => boolean): number {
    return Math.max(
      0,
      ...this.#rests
        .filter(({ gateway, at, forMs }) => !isExcused(gateway, at, at + forMs))
        .map(
          ({ gateway, at: askedAt, forMs }) =>
            this.#arrivals.filter(
              ({ gateway: from, at }) =>
                from === gateway && at > askedAt + GRACE_MS && at < askedAt + forMs,
            ).length,
        ),
    );
  }

  /**
   * Counts the requests that callers sent later than the drain time after the gateway knew that the endpoint
   * leaves.
   */
  countAfterLeaving(
    drainMs: number,
    isExcused: (gateway: number, from: number, to: number) => boolean,
  ): number {
    return this.#arrivals.filter(({ gateway, sentAt, at }) => {
      const toldAt = this.#leavingSince.get(gateway) ?? Number.POSITIVE_INFINITY;
      return sentAt > toldAt + drainMs && !isExcused(gateway, toldAt, at);
    }).length;
  }
}
