/** Something that happens at a time. */
interface TimedEvent {
  readonly at: number;
  readonly run: (now: number) => void;
}

/** Virtual time with events in order. */
export class Timeline {
  readonly #events: TimedEvent[] = [];

  add(at: number, run: (now: number) => void): void {
    const event = { at, run };
    let low = 0;
    let high = this.#events.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      const other = this.#events[middle];
      if (other !== undefined && other.at <= at) low = middle + 1;
      else high = middle;
    }
    this.#events.splice(low, 0, event);
  }

  next(): TimedEvent | undefined {
    return this.#events.shift();
  }
}
