import * as Schema from 'effect/Schema';

/** A lease in the object service. Its fencing number grows with each change of holder. */
export const Lease = Schema.Struct({
  holder: Schema.NonEmptyString,
  fencing: Schema.Int,
  durationMs: Schema.Int,
  /** Unix time of the last renewal by the holder's clock, for operators to read; nothing decides by it. */
  renewedAtMs: Schema.Int,
  /** Writer's nonce, by which a lost answer is settled. */
  nonce: Schema.NonEmptyString,
});
export type Lease = typeof Lease.Type;
