import type { ClockMoment, WatchedKind } from '../../../protocol/peer/GatewayMessages.ts';

/** Kinds of objects that one view holds; drains of failure domains are followed with their own timing. */
export type ViewKind = Exclude<WatchedKind, 'domainDrains'>;

/** How the store's word reached this process: in an answer to a call of its own, or through a peer. */
export type ConfirmationPath = 'call' | 'peer';

/** When the store last confirmed that a view is complete, and by which path. */
export interface Confirmation {
  /** In ms, monotonic; `-Infinity` before the first confirmation. */
  readonly at: number;
  readonly path: ConfirmationPath;
  /** The same by the clock of the process that got the answer; undefined if a peer of a build before told it. */
  readonly moment?: ClockMoment | undefined;
}

const NEVER: Confirmation = { at: Number.NEGATIVE_INFINITY, path: 'call' };

/** When the store last confirmed the view that this process has of each kind of object, by any path. */
export class ViewFreshness {
  readonly #confirmations: Record<ViewKind, Confirmation> = {
    configuration: NEVER,
    endpoints: NEVER,
  };

  /**
   * Records that the store confirmed the view; an earlier moment than the last one changes nothing.
   *
   * @param kind - kind of the objects in the view
   * @param confirmation - when, and by which path
   * @returns when the view was confirmed before; `-Infinity` if never
   */
  confirm(kind: ViewKind, confirmation: Confirmation): number {
    const previous = this.#confirmations[kind];
    if (confirmation.at > previous.at) this.#confirmations[kind] = confirmation;
    return previous.at;
  }

  /**
   * Makes all confirmations older.
   *
   * @param ms - time that passed since then and that the clock didn't count
   */
  age(ms: number): void {
    (['configuration', 'endpoints'] as const).forEach((kind) => {
      const { at, ...confirmation } = this.#confirmations[kind];
      this.#confirmations[kind] = { ...confirmation, at: at - ms };
    });
  }

  /** Returns the last confirmation of the view of one kind. */
  confirmationOf(kind: ViewKind): Confirmation {
    return this.#confirmations[kind];
  }

  /** The last confirmation of the kind that was confirmed the longest time ago. */
  get oldest(): Confirmation {
    const { configuration, endpoints } = this.#confirmations;
    return configuration.at < endpoints.at ? configuration : endpoints;
  }

  /**
   * Returns the age of the view: a change that is older is known here.
   *
   * @param now - present time in ms, monotonic
   * @returns the age in ms; `Infinity` before the first confirmation of both kinds
   */
  ageMs(now: number): number {
    return now - this.oldest.at;
  }
}
