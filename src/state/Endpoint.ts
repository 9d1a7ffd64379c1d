import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';

const DEFAULT_SLOTS = 8;
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 2_000;
const DEFAULT_DECODE_TOKENS_PER_SECOND = 40;

const TokenRate = Schema.Finite.check(Schema.isGreaterThan(0));

/** A back end that serves one version of one pool. An instance that serves two versions has two endpoints. */
export const Endpoint = Schema.Struct({
  name: Schema.NonEmptyString,
  pool: Schema.NonEmptyString,
  version: Schema.NonEmptyString,
  /** `http://IP:PORT`, without a path. */
  address: Schema.String.check(Schema.isPattern(/^http:\/\/[0-9.]+:[0-9]{1,5}$/)),
  failureDomain: Schema.NonEmptyString,
  /** Requests that the endpoint processes concurrently without queueing. */
  slots: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 4096 })).pipe(
    Schema.withDecodingDefaultKey(Effect.succeed(DEFAULT_SLOTS)),
  ),
  /** Initial estimate, updated from completed requests. */
  prefillTokensPerSecond: TokenRate.pipe(
    Schema.withDecodingDefaultKey(Effect.succeed(DEFAULT_PREFILL_TOKENS_PER_SECOND)),
  ),
  /** Initial estimate for one stream, updated from completed requests. */
  decodeTokensPerSecond: TokenRate.pipe(
    Schema.withDecodingDefaultKey(Effect.succeed(DEFAULT_DECODE_TOKENS_PER_SECOND)),
  ),
  /** Whether the engine refuses orders with a stale fencing number. */
  checksFencing: Schema.Boolean.pipe(Schema.withDecodingDefaultKey(Effect.succeed(false))),
  /** Whether the engine loads the version only when a move orders it to. */
  loadByOrder: Schema.Boolean.pipe(Schema.withDecodingDefaultKey(Effect.succeed(false))),
});
export type Endpoint = typeof Endpoint.Type;
