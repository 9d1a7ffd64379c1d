interface Timer {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Turns of the microtask queue after a promise was resolved; more than any chain of promises under test has. */
const MICROTASK_TURNS = 16;

/** Virtual time: runs timers in order and lets promises settle between them. */
export class VirtualClock {
  readonly #timers: Timer[] = [];

  #now = 0;

  #scheduled = 0;

  #unsettled = false;

  /** Current time, in ms. */
  get now(): number {
    return this.#now;
  }

  /** Runs a callback after a delay in ms. */
  after(delayMs: number, run: () => void): void {
    const timer = { at: this.#now + Math.max(0, delayMs), order: this.#scheduled, run };
    this.#scheduled += 1;
    let index = this.#timers.length;
    while (index > 0 && (this.#timers[index - 1] as Timer).at > timer.at) index -= 1;
    this.#timers.splice(index, 0, timer);
  }

  /** Resolves a promise; the clock then waits until what follows from it is done. */
  resolve<T>(resolve: (value: T) => void, value: T): void {
    this.#unsettled = true;
    resolve(value);
  }

  /** Resolves after a delay in ms. */
  readonly sleep = (delayMs: number): Promise<void> =>
    new Promise((resolve) => {
      this.after(delayMs, () => this.resolve(resolve, undefined));
    });

  /** Runs all timers up to a time in ms. */
  async runUntil(end: number): Promise<void> {
    while ((this.#timers[0]?.at ?? Number.POSITIVE_INFINITY) <= end) {
      const timer = this.#timers.shift() as Timer;
      this.#now = timer.at;
      timer.run();
      if (this.#unsettled) await this.#settle();
    }
    this.#now = end;
  }

  async #settle(): Promise<void> {
    this.#unsettled = false;
    for (let turn = 0; turn < MICROTASK_TURNS; turn += 1) await Promise.resolve();
  }
}
