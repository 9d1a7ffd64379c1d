import type { StoreChange, StoreObject } from '../../../protocol/gateway/index.ts';

/** Removed objects that are remembered, so that an older state of theirs isn't taken for a new object. */
const MAXIMUM_REMOVED = 4_096;

/**
 * The objects of one kind with their revisions. Each object's state only grows in its revision, whichever path it
 * arrives by, so that a state which arrives again or late changes nothing.
 */
export class ObjectRevisions {
  readonly #present = new Map<string, StoreObject>();

  /** Revisions of the removals, the oldest removal first. */
  readonly #removed = new Map<string, number>();

  /** All objects that are present. */
  get objects(): readonly StoreObject[] {
    return [...this.#present.values()];
  }

  /**
   * Records changes.
   *
   * @param changes - changes in order, possibly known or outdated ones among them
   * @returns those that are news
   */
  apply(changes: readonly StoreChange[]): readonly StoreChange[] {
    return changes.filter((change) => this.#applyOne(change));
  }

  /**
   * Derives from a complete list what has changed.
   *
   * @param objects - all objects
   * @param revision - store revision of the list; states that are newer stay
   * @returns the changes since the known states
   */
  compare(objects: readonly StoreObject[], revision: number): readonly StoreChange[] {
    return [
      ...objects
        .filter(({ name, revision: listedAt }) => this.#present.get(name)?.revision !== listedAt)
        .map((object) => ({ removed: false, object })),
      ...this.findGone(
        objects.map(({ name }) => name),
        revision,
      ),
    ];
  }

  /**
   * Derives from the names of all objects which ones are gone.
   *
   * @param names - names of all objects
   * @param revision - store revision at which they were all; states that are newer stay
   * @returns the removals
   */
  findGone(names: readonly string[], revision: number): readonly StoreChange[] {
    const listed = new Set(names);
    return this.objects
      .filter(({ name, revision: known }) => !listed.has(name) && known <= revision)
      .map(({ name }) => ({ removed: true, object: { name, revision, spec: null, status: null } }));
  }

  #applyOne({ removed, object }: StoreChange): boolean {
    const { name, revision } = object;
    const known = this.#present.get(name)?.revision ?? Number.NEGATIVE_INFINITY;
    const removedAt = this.#removed.get(name) ?? Number.NEGATIVE_INFINITY;
    if (!removed) {
      if (revision <= known || revision <= removedAt) return false;
      this.#present.set(name, object);
      return true;
    }
    // A removal may bear the revision of the state that it ends.
    if (revision < known) return false;
    this.#remember(name, Math.max(revision, removedAt));
    return this.#present.delete(name);
  }

  #remember(name: string, revision: number): void {
    this.#removed.delete(name);
    this.#removed.set(name, revision);
    const [oldest] = this.#removed.keys();
    if (this.#removed.size > MAXIMUM_REMOVED && oldest !== undefined) this.#removed.delete(oldest);
  }
}
