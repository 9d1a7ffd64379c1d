/** A component that is set after the components that refer to it were created. */
export class LateBound<T> {
  #value: T | undefined;

  set(value: T): void {
    this.#value = value;
  }

  /** Returns the component; throws if it was not set. */
  get(): T {
    if (this.#value === undefined)
      throw new Error('late-bound component was used before it was set');
    return this.#value;
  }

  /** Returns the component, or undefined if it was not set. */
  peek(): T | undefined {
    return this.#value;
  }
}
