/** Minimum interval between two runs of the scheduler. */
const MINIMUM_INTERVAL_MS = 2;

/** Runs the scheduler now, or after the minimum interval: under load one run serves many messages. */
export class DecisionTimer {
  readonly #run: (now: number) => void;

  readonly #now: () => number;

  #ranAt = Number.NEGATIVE_INFINITY;

  #timer: NodeJS.Timeout | undefined;

  /**
   * @param run - runs the scheduler at a time in ms
   * @param now - present time in ms, monotonic
   */
  constructor(run: (now: number) => void, now: () => number) {
    this.#run = run;
    this.#now = now;
  }

  /** Runs the scheduler, or has it run soon. */
  runWhenDue(now: number): void {
    if (this.#timer !== undefined) return;
    if (now - this.#ranAt >= MINIMUM_INTERVAL_MS) {
      this.#runNow(now);
      return;
    }
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#runNow(this.#now());
    }, MINIMUM_INTERVAL_MS);
  }

  #runNow(now: number): void {
    this.#ranAt = now;
    this.#run(now);
  }
}
