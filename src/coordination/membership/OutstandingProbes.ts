/** A sent probe that isn't acknowledged yet. */
export interface OutstandingProbe {
  readonly sequence: number;
  /** Incarnation of the probed member; undefined where only its address is known. */
  readonly target: string | undefined;
  /** When the probe was sent, in ms. */
  readonly sentAt: number;
  /** Revision of this process's own record that the probe carried. */
  readonly selfRevision: number;
  /**
   * Incarnation of the member that requested an indirect probe, and the sequence number of its own
   * probe.
   */
  readonly requester: { readonly incarnation: string; readonly sequence: number } | undefined;
  /** Whether other members were asked to probe the target. */
  readonly indirectRequested: boolean;
}

/** An outstanding probe of a member whose incarnation is known. */
export interface TargetedProbe {
  readonly sequence: number;
  readonly target: string;
}

/** Maximum number of outstanding probes; adding one more discards the oldest. */
const MAXIMUM_OUTSTANDING = 256;

/** The probes of this process that aren't acknowledged yet, oldest first. */
export class OutstandingProbes {
  private readonly bySequence = new Map<number, OutstandingProbe>();

  private lastSequence = 0;

  /**
   * Adds a probe that is about to be sent.
   *
   * @param target - incarnation of the probed member, or undefined where it isn't known
   * @param sentAt - current time in ms
   * @param selfRevision - revision of this process's own record that the probe carries
   * @param requester - member that requested an indirect probe, with its sequence number
   * @returns the probe's sequence number
   */
  add(
    target: string | undefined,
    sentAt: number,
    selfRevision: number,
    requester?: { readonly incarnation: string; readonly sequence: number },
  ): number {
    this.lastSequence += 1;
    const sequence = this.lastSequence;
    this.bySequence.set(sequence, {
      sequence,
      target,
      sentAt,
      selfRevision,
      requester,
      indirectRequested: false,
    });
    if (this.bySequence.size > MAXIMUM_OUTSTANDING) {
      const oldest = this.bySequence.keys().next();
      if (oldest.done !== true) this.bySequence.delete(oldest.value);
    }
    return sequence;
  }

  /**
   * Removes a probe that was acknowledged.
   *
   * @param sequence - its sequence number
   * @returns the probe, or undefined if it was removed before
   */
  acknowledge(sequence: number): OutstandingProbe | undefined {
    const probe = this.bySequence.get(sequence);
    this.bySequence.delete(sequence);
    return probe;
  }

  /**
   * Returns the probes that this process sent on its own behalf and whose direct acknowledgement is
   * overdue, and marks them so that each is returned once.
   *
   * @param latestSentAt - latest time of sending in ms, inclusive
   * @returns the probes to repeat through other members
   */
  markDueForIndirectProbe(latestSentAt: number): readonly TargetedProbe[] {
    const due = [...this.bySequence.values()].filter(
      (probe) =>
        !probe.indirectRequested && probe.requester === undefined && probe.sentAt <= latestSentAt,
    );
    due.forEach((probe) =>
      this.bySequence.set(probe.sequence, { ...probe, indirectRequested: true }),
    );
    return due.flatMap(({ sequence, target }) =>
      target === undefined ? [] : [{ sequence, target }],
    );
  }

  /**
   * Removes the probes that were acknowledged neither directly nor indirectly.
   *
   * @param latestSentAt - latest time of sending in ms, inclusive
   * @returns the probes among them that were sent on this process's own behalf
   */
  removeExpired(latestSentAt: number): readonly TargetedProbe[] {
    const expired = [...this.bySequence.values()].filter(({ sentAt }) => sentAt <= latestSentAt);
    expired.forEach(({ sequence }) => this.bySequence.delete(sequence));
    return expired.flatMap(({ sequence, target, requester }) =>
      target === undefined || requester !== undefined ? [] : [{ sequence, target }],
    );
  }

  /** Removes all outstanding probes. */
  clear(): void {
    this.bySequence.clear();
  }
}
