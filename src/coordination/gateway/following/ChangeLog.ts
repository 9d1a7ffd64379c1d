import type { StoreChange } from '../../../protocol/gateway/index.ts';

/** Changes that complete a view from one store revision to another. */
export interface ChangeSpan {
  readonly fromRevision: number;
  readonly toRevision: number;
  readonly changes: readonly StoreChange[];
  /**
   * Names of all objects at `toRevision`, if the changes were derived from a list: it doesn't tell which objects came and
   * went, so that a view which saw one come would miss that it went.
   */
  readonly present?: readonly string[] | undefined;
}

/**
 * Store revisions, both excluded, between which objects may have come and gone without notice, because the view jumped
 * over them by a list.
 */
export interface RevisionGap {
  readonly after: number;
  readonly until: number;
}

/** Objects whose last change is kept for peers. */
const MAXIMUM_KEPT_CHANGES = 1_024;

/**
 * The last change of each object of one kind, from a revision on, so that a peer whose view is older can be sent what
 * it lacks.
 */
export class ChangeLog {
  /**
   * Changes by object, the oldest first, with the store revision of the view that had them: a removal may bear the
   * revision of the state that it ends.
   */
  readonly #last = new Map<string, { readonly change: StoreChange; readonly knownAt: number }>();

  #completeFrom = 0;

  #completeTo = 0;

  /**
   * Starts anew with a complete view.
   *
   * @param revision - its store revision
   */
  reset(revision: number): void {
    this.#last.clear();
    this.#completeFrom = revision;
    this.#completeTo = revision;
  }

  /**
   * Appends the changes that complete the view up to a revision.
   *
   * @param changes - all changes since the revision before
   * @param revision - store revision that the view has reached
   */
  append(changes: readonly StoreChange[], revision: number): void {
    changes.forEach((change) => {
      this.#last.delete(change.object.name);
      this.#last.set(change.object.name, { change, knownAt: revision });
    });
    this.#completeTo = revision;
    while (this.#last.size > MAXIMUM_KEPT_CHANGES) {
      const [oldest] = this.#last;
      if (oldest === undefined) return;
      this.#last.delete(oldest[0]);
      this.#completeFrom = oldest[1].knownAt;
    }
  }

  /**
   * Returns what a view lacks.
   *
   * @param revision - store revision up to which that view is complete
   * @returns the changes since then, possibly with some before; undefined if they aren't known any more, or if there are none
   */
  since(revision: number): ChangeSpan | undefined {
    if (revision < this.#completeFrom || revision >= this.#completeTo) return undefined;
    const changes = [...this.#last.values()]
      .filter(({ knownAt }) => knownAt > revision)
      .map(({ change }) => change);
    return { fromRevision: revision, toRevision: this.#completeTo, changes };
  }
}
