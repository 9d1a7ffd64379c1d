import { randomBytes } from 'node:crypto';

/** Start times are padded to this width, so that they sort as text. */
const TIME_DIGITS = 11;
const RADIX = 36;
const RANDOM_BYTES = 4;

/**
 * Creates the incarnation id of one start of a process. The ids sort by start time, so that members
 * agree without communication on which of them started first.
 *
 * @param wallTimeMs - present wall-clock time in ms since the epoch
 * @returns a unique id: start time and random suffix
 */
export const makeIncarnation = (wallTimeMs: number): string => {
  const time = wallTimeMs.toString(RADIX).padStart(TIME_DIGITS, '0');
  return `${time}-${randomBytes(RANDOM_BYTES).toString('hex')}`;
};
