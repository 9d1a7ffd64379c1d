import type { RolloutReport, VersionCount } from '../../../protocol/peer/RolloutMessages.ts';

/** Time for which a gateway's count of running requests holds. */
const COUNT_VALIDITY_MS = 1_000;

interface GatewayCounts {
  readonly counts: readonly VersionCount[];
  readonly step: string | undefined;
  readonly at: number;
}

/** Requests sent to the two versions of a service, by all gateways. */
export interface SentCounts {
  readonly old: number;
  readonly new: number;
}

const sum = (counts: readonly VersionCount[]): number =>
  counts.reduce((total, { sent }) => total + sent, 0);

/** What all gateways together have sent to the versions of a service, and what still runs. */
export class VersionExposure {
  /** The newest counts of each gateway, also of those that are gone. */
  readonly #gateways = new Map<string, GatewayCounts>();

  /** Replaces the counts of a gateway. */
  observe(from: string, { counts, step }: RolloutReport, now: number): void {
    this.#gateways.set(from, { counts, step, at: now });
  }

  /** Returns what was sent since the order, to the target and to other versions. */
  sent(target: string): SentCounts {
    const counts = [...this.#gateways.values()].flatMap((gateway) => gateway.counts);
    const fresh = counts.filter(({ version }) => version === target);
    return {
      old: sum(counts) - sum(fresh),
      new: sum(fresh),
    };
  }

  /**
   * Whether all gateways said lately that they send to the target only, and that nothing of theirs runs elsewhere.
   *
   * @param target - the target
   * @param members - incarnations of the gateways that are alive
   * @param now - present time in ms, monotonic
   */
  isDrained(target: string, members: readonly string[], now: number): boolean {
    return members.every((incarnation) => {
      const gateway = this.#gateways.get(incarnation);
      return (
        gateway?.step === 'cutover' &&
        now - gateway.at <= COUNT_VALIDITY_MS &&
        gateway.counts.every(({ version, running }) => version === target || running === 0)
      );
    });
  }
}
