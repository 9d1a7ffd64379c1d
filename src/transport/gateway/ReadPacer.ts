/** What a pacer depends on. */
export interface ReadPacerOptions {
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  /** Calls a function once the present turn of the event loop is over. */
  readonly afterTurn: (run: () => void) => void;
  /** Calls a function after a time in ms. */
  readonly schedule: (run: () => void, delayMs: number) => void;
}

/**
 * Shares the event loop between connections whose bytes take much processor time to read, and all others. Of the former one
 * is read at a time. While more than one waits, the loop is left to the others for as long as the last one took.
 */
export class ReadPacer {
  readonly #options: ReadPacerOptions;

  readonly #waiting = new Set<() => void>();

  #isScheduled = false;

  constructor(options: ReadPacerOptions) {
    this.#options = options;
  }

  /**
   * Makes a connection wait for its turn. Call it as soon as its bytes turn out to be costly; the rest of what has been read
   * is still handled in the present turn.
   *
   * @param resume - goes on reading the connection
   * @returns a function that takes the connection out again, because it has closed
   */
  wait(resume: () => void): () => void {
    const { now, afterTurn } = this.#options;
    const startedAt = now();
    this.#waiting.add(resume);
    afterTurn(() => this.#scheduleNext(now() - startedAt));
    return () => {
      this.#waiting.delete(resume);
    };
  }

  #scheduleNext(costMs: number): void {
    if (this.#isScheduled || this.#waiting.size === 0) return;
    const { schedule } = this.#options;
    this.#isScheduled = true;
    schedule(() => this.#resumeNext(), this.#waiting.size > 1 ? costMs : 0);
  }

  #resumeNext(): void {
    this.#isScheduled = false;
    const [next] = this.#waiting;
    if (next === undefined) return;
    this.#waiting.delete(next);
    next();
    // A connection that brings nothing costly any more doesn't come back, and must not hold up the next one.
    const { now, afterTurn } = this.#options;
    const startedAt = now();
    afterTurn(() => this.#scheduleNext(now() - startedAt));
  }
}
