import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import { Roll } from '../../state/Roll.ts';
import { digestJson } from '../../state/canonicalJson.ts';

const decodeRoll = Schema.decodeUnknownResult(Roll);
const decodeRawRoll = Schema.decodeUnknownResult(Schema.Struct({ bundle: Schema.Unknown }));

/**
 * Decodes a stored roll and verifies the digest of its bundle.
 *
 * @param value - value of the stored object
 * @returns the roll, undefined if the value isn't a roll or its bundle doesn't match the digest
 */
export const decodeStoredRoll = (value: unknown): Roll | undefined => {
  const roll = decodeRoll(value);
  // The digest covers the bundle as written, without the defaults that decoding adds, since these can
  // differ between program versions.
  const rawRoll = decodeRawRoll(value);
  if (Result.isFailure(roll) || Result.isFailure(rawRoll)) return undefined;
  return digestJson(rawRoll.success.bundle) === roll.success.digest ? roll.success : undefined;
};
