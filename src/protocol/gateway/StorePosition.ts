import * as Schema from 'effect/Schema';

/**
 * A position in the store's history: its era, which rises whenever the store comes back from an older copy, and the revision
 * within the era. Positions compare as numbers, by era first. Revisions of two eras count changes of two histories, so that
 * no span of changes reaches from one era into another.
 */
export const StorePosition = Schema.Finite;
export type StorePosition = typeof StorePosition.Type;

/** More than a store counts in years at its highest rate; era times this stays exact in a number. */
const REVISIONS_PER_ERA = 2 ** 36;

/**
 * Makes a position.
 *
 * @param era - era of the store; 0 for a store without eras
 * @param revision - revision of the store within the era
 * @returns the position
 */
export const makePosition = (era: number, revision: number): StorePosition =>
  era * REVISIONS_PER_ERA + revision;

/** Returns the era of a position. */
export const eraOf = (position: StorePosition): number => Math.floor(position / REVISIONS_PER_ERA);

/** Returns the revision of a position, which only the store of that era understands. */
export const revisionOf = (position: StorePosition): number => position % REVISIONS_PER_ERA;

/**
 * Formats a position for the log.
 *
 * @returns `ERA/REVISION`, or the revision alone of a store without eras
 */
export const formatPosition = (position: StorePosition): string | number =>
  eraOf(position) === 0 ? position : `${eraOf(position)}/${revisionOf(position)}`;
