import * as Schema from 'effect/Schema';
import { Configuration } from './Configuration.ts';

/** The one roll object of a namespace: the configuration in force and who put it there. */
export const Roll = Schema.Struct({
  ...Configuration.fields,
  /** Operator's name as given on the command line. */
  operator: Schema.NonEmptyString,
  /** Writer's nonce, by which a lost answer is settled. */
  nonce: Schema.NonEmptyString,
});
export type Roll = typeof Roll.Type;

/** Name of the only object of kind `rolls`. */
export const ROLL_OBJECT_NAME = 'current';
