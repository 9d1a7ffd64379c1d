import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import { Roll } from '../../state/Roll.ts';
import { digestJson } from '../../state/canonicalJson.ts';

const decodeRoll = Schema.decodeUnknownResult(Roll);
const decodeDigested = Schema.decodeUnknownResult(Schema.Struct({ bundle: Schema.Unknown }));

/**
 * Reads a stored roll. One whose bundle doesn't match its digest is no roll.
 *
 * @param value - value of the stored object
 * @returns the roll, undefined where the value isn't one
 */
export const decodeStoredRoll = (value: unknown): Roll | undefined => {
  const roll = decodeRoll(value);
  // The digest is over the bundle as written: defaults of this program's version don't count.
  const written = decodeDigested(value);
  if (Result.isFailure(roll) || Result.isFailure(written)) return undefined;
  return digestJson(written.success.bundle) === roll.success.digest ? roll.success : undefined;
};
