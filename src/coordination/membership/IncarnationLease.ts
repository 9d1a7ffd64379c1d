/** Whether this incarnation may still dispatch. */
export type LeaseState =
  | { readonly _tag: 'unneeded' }
  | { readonly _tag: 'held'; readonly untilMs: number }
  | { readonly _tag: 'lapsed' };

/**
 * The right of one incarnation to dispatch. It counts from the sending of the last acknowledged
 * probe, so a peer that waits from the probe's arrival on always waits longer. A lapse is final.
 */
export class IncarnationLease {
  private untilMs: number | undefined;

  private hasLapsed = false;

  constructor(private readonly durationMs: number) {}

  /**
   * Takes note of a peer, from which on a lease is needed.
   *
   * @param now - present time in ms
   */
  startAt(now: number): void {
    if (this.untilMs === undefined) this.untilMs = now + this.durationMs;
  }

  /**
   * Renews the lease, unless it has lapsed.
   *
   * @param sentAt - when the acknowledged probe was sent
   * @param now - present time in ms
   */
  renew(sentAt: number, now: number): void {
    if (this.untilMs !== undefined && now > this.untilMs) this.hasLapsed = true;
    if (this.hasLapsed) return;
    this.untilMs = Math.max(this.untilMs ?? 0, sentAt + this.durationMs);
  }

  /** Ends the lease for good. */
  revoke(): void {
    this.hasLapsed = true;
  }

  /** Makes the lease unneeded again once no peer is left that could speak for this process. */
  waive(): void {
    if (!this.hasLapsed) this.untilMs = undefined;
  }

  /**
   * Gives the state of the lease.
   *
   * @param now - present time in ms
   * @returns the state; `lapsed` stays so for good
   */
  state(now: number): LeaseState {
    if (this.hasLapsed) return { _tag: 'lapsed' };
    if (this.untilMs === undefined) return { _tag: 'unneeded' };
    if (now > this.untilMs) {
      this.hasLapsed = true;
      return { _tag: 'lapsed' };
    }
    return { _tag: 'held', untilMs: this.untilMs };
  }
}
