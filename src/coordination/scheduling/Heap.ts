/** Binary heap whose head is the item that precedes all others in a given order. */
export class Heap<T> {
  #items: T[] = [];

  readonly #isBefore: (a: T, b: T) => boolean;

  /** @param isBefore - tells whether `a` precedes `b` */
  constructor(isBefore: (a: T, b: T) => boolean) {
    this.#isBefore = isBefore;
  }

  /** @returns number of items */
  get size(): number {
    return this.#items.length;
  }

  /** @returns the first item, without removing it */
  peek(): T | undefined {
    return this.#items[0];
  }

  /** @returns the items in no particular order */
  items(): readonly T[] {
    return this.#items;
  }

  /**
   * Adds an item.
   *
   * @param item - item to add
   */
  push(item: T): void {
    const items = this.#items;
    let index = items.length;
    items.push(item);
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.#isBefore(item, items[parent] as T)) break;
      items[index] = items[parent] as T;
      index = parent;
    }
    items[index] = item;
  }

  /**
   * Removes the first item.
   *
   * @returns the removed item, or undefined if the heap is empty
   */
  pop(): T | undefined {
    const first = this.#items[0];
    const last = this.#items.pop();
    if (last !== undefined && this.#items.length > 0) this.#sink(last);
    return first;
  }

  /**
   * Removes the items that a predicate rejects and rebuilds the heap.
   *
   * @param keep - returns true for the items that remain
   */
  filter(keep: (item: T) => boolean): void {
    const kept = this.#items.filter(keep);
    this.#items = [];
    kept.forEach((item) => this.push(item));
  }

  #sink(item: T): void {
    const items = this.#items;
    let index = 0;
    let child = 1;
    while (child < items.length) {
      const right = child + 1;
      if (right < items.length && this.#isBefore(items[right] as T, items[child] as T)) {
        child = right;
      }
      if (!this.#isBefore(items[child] as T, item)) break;
      items[index] = items[child] as T;
      index = child;
      child = 2 * index + 1;
    }
    items[index] = item;
  }
}
