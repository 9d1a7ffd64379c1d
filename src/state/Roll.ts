import * as Schema from 'effect/Schema';
import { Configuration } from './Configuration.ts';

/** The only roll object of a namespace: the current configuration and the operator who rolled it. */
export const Roll = Schema.Struct({
  ...Configuration.fields,
  /** Name of the operator as given on the command line. */
  operator: Schema.NonEmptyString,
  /** Nonce of the writer, by which it recognizes its own write after a lost response. */
  nonce: Schema.NonEmptyString,
});
export type Roll = typeof Roll.Type;

/** Name of the only object of the kind `rolls`. */
export const ROLL_OBJECT_NAME = 'current';
