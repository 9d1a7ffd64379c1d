/** Whether this incarnation may still dispatch. */
export type IncarnationLeaseState =
  | { readonly _tag: 'unneeded' }
  | { readonly _tag: 'held'; readonly expiresAtMs: number }
  | { readonly _tag: 'lapsed' };

/**
 * The right of one incarnation to dispatch. It counts from the sending of the last acknowledged
 * probe, so a peer that waits from the probe's arrival on always waits longer. A lapse is final.
 */
export class IncarnationLease {
  private expiresAtMs: number | undefined;

  private hasLapsed = false;

  constructor(private readonly durationMs: number) {}

  /**
   * Takes note of a peer, from which on a lease is needed.
   *
   * @param now - present time in ms
   */
  requireFrom(now: number): void {
    if (this.expiresAtMs === undefined) this.expiresAtMs = now + this.durationMs;
  }

  /**
   * Renews the lease, unless it has lapsed.
   *
   * @param sentAt - when the acknowledged probe was sent
   * @param now - present time in ms
   */
  renew(sentAt: number, now: number): void {
    if (this.expiresAtMs !== undefined && now > this.expiresAtMs) this.hasLapsed = true;
    if (this.hasLapsed) return;
    this.expiresAtMs = Math.max(this.expiresAtMs ?? 0, sentAt + this.durationMs);
  }

  /** Ends the lease for good. */
  revoke(): void {
    this.hasLapsed = true;
  }

  /** Makes the lease unneeded again once no peer is left that could speak for this process. */
  clearRequirement(): void {
    if (!this.hasLapsed) this.expiresAtMs = undefined;
  }

  /**
   * Gives the state of the lease.
   *
   * @param now - present time in ms
   * @returns the state; `lapsed` stays so for good
   */
  state(now: number): IncarnationLeaseState {
    if (this.hasLapsed) return { _tag: 'lapsed' };
    if (this.expiresAtMs === undefined) return { _tag: 'unneeded' };
    if (now > this.expiresAtMs) {
      this.hasLapsed = true;
      return { _tag: 'lapsed' };
    }
    return { _tag: 'held', expiresAtMs: this.expiresAtMs };
  }
}
