import { randomBytes } from 'node:crypto';

const TIME_DIGITS = 11;
const RADIX = 36;
const RANDOM_BYTES = 4;

/**
 * Makes the name of one start of a process. Names sort by start, so that members agree on which of
 * them started first without asking anyone.
 *
 * @param wallNow - present time of day in ms
 * @returns a name that never repeats
 */
export const makeIncarnation = (wallNow: number): string => {
  const time = wallNow.toString(RADIX).padStart(TIME_DIGITS, '0');
  return `${time}-${randomBytes(RANDOM_BYTES).toString('hex')}`;
};
