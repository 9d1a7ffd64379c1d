import * as Schema from 'effect/Schema';

/** A client account with its rate limits. The bundle holds only the digest of its key. */
export const ClientAccount = Schema.Struct({
  name: Schema.NonEmptyString,
  /** Name of the tier of all its requests. */
  tier: Schema.NonEmptyString,
  /** `sha256:` and the lower-case hex digest of the account's key. */
  keyDigest: Schema.String.check(Schema.isPattern(/^sha256:[0-9a-f]{64}$/)),
  requestsPerSecond: Schema.Finite.check(Schema.isGreaterThan(0)),
  /** Prompt and generated tokens combined. */
  tokensPerSecond: Schema.Finite.check(Schema.isGreaterThan(0)),
  /** Upper limit of requests in flight. */
  concurrency: Schema.Int.check(Schema.isGreaterThan(0)),
});
export type ClientAccount = typeof ClientAccount.Type;
