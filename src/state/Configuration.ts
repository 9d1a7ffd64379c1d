import * as Schema from 'effect/Schema';
import { Bundle } from './Bundle.ts';

/** The rolled bundle with the number that orders it against all others. */
export const Configuration = Schema.Struct({
  /** Grows by one with each roll; compared before a configuration is applied. */
  rollNumber: Schema.Int.check(Schema.isGreaterThan(0)),
  /** `sha256:` digest of the bundle's canonical text. */
  digest: Schema.NonEmptyString,
  bundle: Bundle,
});
export type Configuration = typeof Configuration.Type;
