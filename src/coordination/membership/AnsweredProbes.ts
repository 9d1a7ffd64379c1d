/** Time over which probes are counted. */
const WINDOW_MS = 1_000;
/** Fewest probes that tell anything. */
const MINIMUM_PROBES = 3;
/** Share of answered probes that a network which loses single messages leaves. */
const LEAST_OF_LOSSY_NETWORK = 0.7;

/** Which of the latest probes were answered: a part of the group that is cut off shows here before its members are suspected. */
export class AnsweredProbes {
  #outcomes: { readonly at: number; readonly isAnswered: boolean }[] = [];

  /**
   * Records a probe that was answered, or whose answer is overdue.
   *
   * @param isAnswered - which of the two
   * @param now - current time in ms
   */
  record(isAnswered: boolean, now: number): void {
    this.#outcomes = [
      ...this.#outcomes.filter(({ at }) => now - at < WINDOW_MS),
      { at: now, isAnswered },
    ];
  }

  /** Forgets all probes, after a pause of this process. */
  clear(): void {
    this.#outcomes = [];
  }

  /**
   * Estimates the part of the group that this process reaches.
   *
   * @param now - current time in ms
   * @returns a fraction from 0 to 1; 1 as long as no more is missing than a lossy network explains
   */
  share(now: number): number {
    const recent = this.#outcomes.filter(({ at }) => now - at < WINDOW_MS);
    if (recent.length < MINIMUM_PROBES) return 1;
    const share = recent.filter(({ isAnswered }) => isAnswered).length / recent.length;
    return share >= LEAST_OF_LOSSY_NETWORK ? 1 : share;
  }
}
