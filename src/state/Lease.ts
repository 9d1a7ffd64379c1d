import * as Schema from 'effect/Schema';

/** A lease object in the platform's object API. */
export const Lease = Schema.Struct({
  holder: Schema.NonEmptyString,
  /** Fencing number, which increases with each change of holder. */
  fencing: Schema.Int,
  durationMs: Schema.Int,
  /** Unix time of the last renewal by the holder's clock. Informational only: expiry doesn't depend on it. */
  renewedAtMs: Schema.Int,
  /** Nonce of the writer, by which it recognizes its own write after a lost response. */
  nonce: Schema.NonEmptyString,
});
export type Lease = typeof Lease.Type;
