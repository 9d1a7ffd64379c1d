/** A gateway is bound from this time after the endpoint first stated a limit. */
const CONTACT_MS = 3_000;
/** A bound holds over each window of this length. */
const WINDOW_MS = 4_000;
/** An endpoint may get this multiple of its limit in a window, and some requests more. */
const FACTOR = 1.5;
const SLACK = 5;
/** A gateway is bound so long after it passed on an answer with a limit. */
const TOLD_MS = 500;
const SECOND_MS = 1_000;

/** What one endpoint stated and what it got, judged by the bound of the users' rule LIMIT. */
export class LimitLedger {
  readonly #arrivals: { readonly gateway: string; readonly at: number }[] = [];

  readonly #rates: { readonly perSecond: number; readonly at: number }[] = [];

  readonly #toldAt = new Map<string, number>();

  arrived(gateway: string, at: number): void {
    this.#arrivals.push({ gateway, at });
  }

  /** Records the limit that an answer states. */
  stated(perSecond: number, at: number): void {
    this.#rates.push({ perSecond, at });
  }

  /** Records that an answer with a limit went to a gateway. */
  told(gateway: string, at: number): void {
    if (!this.#toldAt.has(gateway)) this.#toldAt.set(gateway, at);
  }

  /** When the endpoint last stated a limit. */
  get lastStatedAt(): number {
    return this.#rates.at(-1)?.at ?? Number.NEGATIVE_INFINITY;
  }

  /**
   * Finds the window that exceeds the bound the most.
   *
   * @param until - when the endpoint ceased to state a limit
   * @param isExcused - whether a gateway's request doesn't count
   * @returns requests beyond the bound; negative if every window is below it
   */
  worstExcess(until: number, isExcused: (gateway: string, at: number) => boolean): number {
    const [first] = this.#rates;
    if (first === undefined) return Number.NEGATIVE_INFINITY;
    const counted = this.#arrivals.filter(
      ({ gateway, at }) =>
        at >= (this.#toldAt.get(gateway) ?? Number.POSITIVE_INFINITY) + TOLD_MS &&
        !isExcused(gateway, at),
    );
    const starts = counted
      .map(({ at }) => at)
      .filter((at) => at >= first.at + CONTACT_MS && at + WINDOW_MS <= until);
    return Math.max(
      ...starts.map(
        (start) =>
          counted.filter(({ at }) => at >= start && at < start + WINDOW_MS).length -
          (FACTOR * this.#allowed(start, start + WINDOW_MS) + SLACK),
      ),
      -SLACK,
    );
  }

  /** Requests that arrived as a share of those that the limit allowed. */
  usedShare(from: number, until: number): number {
    const count = this.#arrivals.filter(({ at }) => at >= from && at < until).length;
    return count / this.#allowed(from, until);
  }

  /** Most requests that arrived in a second of a span. */
  mostInASecond(from: number, until: number): number {
    const times = this.#arrivals.map(({ at }) => at).filter((at) => at >= from && at < until);
    return Math.max(
      0,
      ...times.map((start) => times.filter((at) => at >= start && at < start + SECOND_MS).length),
    );
  }

  /** Requests that the stated limits allow in a span. */
  #allowed(from: number, until: number): number {
    return this.#rates.reduce((sum, { perSecond, at }, index) => {
      const end = Math.min(until, this.#rates[index + 1]?.at ?? until);
      const start = Math.max(from, at);
      return sum + (Math.max(0, end - start) * perSecond) / SECOND_MS;
    }, 0);
  }
}
