/** A relay repeats its report well within this time; an older report is discarded. */
const REPORT_LIFETIME_MS = 15_000;

interface RelayReport {
  readonly addresses: ReadonlySet<string>;
  readonly receivedAt: number;
}

/**
 * Addresses of leaving endpoints, taken from the last report of each relay. The reports also contain
 * instances of other roles, whose addresses match no endpoint.
 */
export class LeavingEndpoints {
  private readonly reports = new Map<string, RelayReport>();

  /**
   * Replaces a relay's last report.
   *
   * @param relay - incarnation of the relay
   * @param addresses - `IP:PORT` of all leaving instances
   * @param now - present monotonic time in ms
   */
  report(relay: string, addresses: readonly string[], now: number): void {
    this.reports.set(relay, { addresses: new Set(addresses), receivedAt: now });
  }

  /**
   * Discards reports that their relay hasn't repeated in time.
   *
   * @param now - present monotonic time in ms
   */
  expire(now: number): void {
    this.reports.forEach(({ receivedAt }, relay) => {
      if (now - receivedAt > REPORT_LIFETIME_MS) this.reports.delete(relay);
    });
  }

  /** @returns addresses `IP:PORT` in the report of any relay */
  addresses(): ReadonlySet<string> {
    return new Set([...this.reports.values()].flatMap((report) => [...report.addresses]));
  }
}
