/** A relay repeats what it sees well within this time; later its word no longer counts. */
const REPORT_LIFETIME_MS = 15_000;

interface Report {
  readonly addresses: ReadonlySet<string>;
  readonly heardAt: number;
}

/** Which endpoints leave, by the last word of each relay. */
export class LeavingEndpoints {
  private readonly reports = new Map<string, Report>();

  /**
   * Notes what a relay sees.
   *
   * @param relay - incarnation of the relay
   * @param addresses - `IP:PORT` of all leaving instances
   * @param now - present time in ms
   */
  report(relay: string, addresses: readonly string[], now: number): void {
    this.reports.set(relay, { addresses: new Set(addresses), heardAt: now });
  }

  /** Drops reports that were not repeated. */
  expire(now: number): void {
    this.reports.forEach(({ heardAt }, relay) => {
      if (now - heardAt > REPORT_LIFETIME_MS) this.reports.delete(relay);
    });
  }

  /** Gives the addresses `IP:PORT` that any relay sees leaving. */
  addresses(): ReadonlySet<string> {
    return new Set([...this.reports.values()].flatMap((report) => [...report.addresses]));
  }
}
