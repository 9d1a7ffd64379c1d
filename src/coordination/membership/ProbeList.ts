/** A probe that waits for its acknowledgement. */
export interface OpenProbe {
  readonly sequence: number;
  /** Undefined where only the address is known. */
  readonly target: string | undefined;
  readonly sentAt: number;
  /** Revision of one's own record that the probe carried. */
  readonly selfRevision: number;
  readonly onBehalfOf: { readonly to: string; readonly sequence: number } | undefined;
  readonly indirect: boolean;
}

/** An open probe whose target's incarnation is known. */
export interface TargetedProbe {
  readonly sequence: number;
  readonly target: string;
}

const MAXIMUM_OPEN = 256;

/** The probes under way, oldest first. */
export class ProbeList {
  private readonly bySequence = new Map<number, OpenProbe>();

  private lastSequence = 0;

  /**
   * Opens a probe.
   *
   * @param target - incarnation probed, or undefined where it isn't known
   * @param sentAt - present time in ms
   * @param selfRevision - revision of one's own record that the probe carries
   * @param onBehalfOf - who asked for it, and under which sequence number
   * @returns the probe's sequence number
   */
  add(
    target: string | undefined,
    sentAt: number,
    selfRevision: number,
    onBehalfOf?: { readonly to: string; readonly sequence: number },
  ): number {
    this.lastSequence += 1;
    const sequence = this.lastSequence;
    this.bySequence.set(sequence, {
      sequence,
      target,
      sentAt,
      selfRevision,
      onBehalfOf,
      indirect: false,
    });
    if (this.bySequence.size > MAXIMUM_OPEN) {
      const oldest = this.bySequence.keys().next();
      if (oldest.done !== true) this.bySequence.delete(oldest.value);
    }
    return sequence;
  }

  /**
   * Closes a probe that was acknowledged.
   *
   * @param sequence - its sequence number
   * @returns the probe, or undefined where it is closed already
   */
  settle(sequence: number): OpenProbe | undefined {
    const probe = this.bySequence.get(sequence);
    this.bySequence.delete(sequence);
    return probe;
  }

  /**
   * Gives the own, direct probes that have waited too long, once each.
   *
   * @param sentBefore - time in ms
   * @returns the probes to try through others
   */
  unansweredSince(sentBefore: number): readonly TargetedProbe[] {
    const due = [...this.bySequence.values()].filter(
      (probe) => !probe.indirect && probe.onBehalfOf === undefined && probe.sentAt <= sentBefore,
    );
    due.forEach((probe) => this.bySequence.set(probe.sequence, { ...probe, indirect: true }));
    return due.flatMap(({ sequence, target }) =>
      target === undefined ? [] : [{ sequence, target }],
    );
  }

  /**
   * Closes the probes that have failed, the indirect way included.
   *
   * @param sentBefore - time in ms
   * @returns the own probes among them
   */
  expiredSince(sentBefore: number): readonly TargetedProbe[] {
    const expired = [...this.bySequence.values()].filter(({ sentAt }) => sentAt <= sentBefore);
    expired.forEach(({ sequence }) => this.bySequence.delete(sequence));
    return expired.flatMap(({ sequence, target, onBehalfOf }) =>
      target === undefined || onBehalfOf !== undefined ? [] : [{ sequence, target }],
    );
  }

  /** Drops all open probes. */
  clear(): void {
    this.bySequence.clear();
  }
}
