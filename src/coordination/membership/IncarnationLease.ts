/**
 * State of an incarnation's lease. The incarnation may dispatch requests unless the lease has lapsed;
 * a process without peers needs none.
 */
export type IncarnationLeaseState =
  | { readonly _tag: 'unneeded' }
  | { readonly _tag: 'held'; readonly expiresAtMs: number }
  | { readonly _tag: 'lapsed' };

/**
 * Lease under which one incarnation dispatches requests. It lasts for a fixed duration from when the
 * last acknowledged probe was sent. A peer that waits the same duration from when it received the
 * probe therefore always waits until the lease has expired. An expired lease can't be renewed.
 */
export class IncarnationLease {
  private expiresAtMs: number | undefined;

  private hasLapsed = false;

  /**
   * @param durationMs - duration of the lease in ms
   */
  constructor(private readonly durationMs: number) {}

  /**
   * Requires a lease from now on, because a peer exists. A running lease isn't extended.
   *
   * @param now - current time in ms
   */
  requireFrom(now: number): void {
    if (this.expiresAtMs === undefined) this.expiresAtMs = now + this.durationMs;
  }

  /**
   * Renews the lease, unless it has expired or was revoked.
   *
   * @param sentAt - when the acknowledged probe was sent, in ms
   * @param now - current time in ms
   */
  renew(sentAt: number, now: number): void {
    if (this.expiresAtMs !== undefined && now > this.expiresAtMs) this.hasLapsed = true;
    if (this.hasLapsed) return;
    this.expiresAtMs = Math.max(this.expiresAtMs ?? 0, sentAt + this.durationMs);
  }

  /** Ends the lease permanently. */
  revoke(): void {
    this.hasLapsed = true;
  }

  /** Lifts the requirement of a lease once no peer is left that could act in place of this process. */
  clearRequirement(): void {
    if (!this.hasLapsed) this.expiresAtMs = undefined;
  }

  /**
   * Returns the state of the lease, and ends an expired lease permanently.
   *
   * @param now - current time in ms
   * @returns the state; `lapsed` is final
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
