import * as Schema from 'effect/Schema';
import { Bundle } from './Bundle.ts';

/** A rolled bundle with the roll number that orders configurations. */
export const Configuration = Schema.Struct({
  /** Increases by one with each roll; only a configuration with a higher number is applied. */
  rollNumber: Schema.Int.check(Schema.isGreaterThan(0)),
  /** `sha256:` digest of the bundle's canonical JSON. */
  digest: Schema.NonEmptyString,
  bundle: Bundle,
});
export type Configuration = typeof Configuration.Type;
