import * as Schema from 'effect/Schema';

/** A customer of the deployment. The bundle holds only the digest of its key. */
export const ClientAccount = Schema.Struct({
  name: Schema.NonEmptyString,
  tier: Schema.NonEmptyString,
  /** `sha256:` and the lower-case hex digest of the account's key. */
  keyDigest: Schema.String.check(Schema.isPattern(/^sha256:[0-9a-f]{64}$/)),
  requestsPerSecond: Schema.Finite.check(Schema.isGreaterThan(0)),
  /** Prompt and generated tokens together. */
  tokensPerSecond: Schema.Finite.check(Schema.isGreaterThan(0)),
  concurrency: Schema.Int.check(Schema.isGreaterThan(0)),
});
export type ClientAccount = typeof ClientAccount.Type;
