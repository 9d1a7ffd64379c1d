interface Timed {
  readonly at: number;
  readonly weight: number;
}

/** Sum of what lies in a window that ends with the newest. */
export class WindowSum {
  readonly #entries: Timed[] = [];

  readonly #windowMs: number;

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  add(at: number, weight: number): void {
    this.#entries.push({ at, weight });
  }

  sum(now: number): number {
    for (
      let [first] = this.#entries;
      first !== undefined && first.at < now - 3 * this.#windowMs;
      [first] = this.#entries
    ) {
      this.#entries.shift();
    }
    return this.#between(now - this.#windowMs, now);
  }

  /** The most of the window that ends now, the one before it and the one half a window before it. */
  most(now: number): number {
    const windowMs = this.#windowMs;
    return Math.max(
      ...[0, windowMs / 2, windowMs].map((back) =>
        this.#between(now - back - windowMs, now - back),
      ),
    );
  }

  #between(from: number, to: number): number {
    return this.#entries
      .filter(({ at }) => at > from && at <= to)
      .reduce((sum, { weight }) => sum + weight, 0);
  }
}
