import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';

const DEFAULT_SLOTS = 8;
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 2_000;
const DEFAULT_DECODE_TOKENS_PER_SECOND = 40;

const TokenRate = Schema.Finite.check(Schema.isGreaterThan(0));

/** One back end that serves one version of one pool. Two versions on one instance are two endpoints. */
export const Endpoint = Schema.Struct({
  name: Schema.NonEmptyString,
  pool: Schema.NonEmptyString,
  version: Schema.NonEmptyString,
  /** `http://IP:PORT`, without a path. */
  address: Schema.String.check(Schema.isPattern(/^http:\/\/[0-9.]+:[0-9]{1,5}$/)),
  failureDomain: Schema.NonEmptyString,
  /** Requests that the endpoint works on at the same time without queueing. */
  slots: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 4096 })).pipe(
    Schema.withDecodingDefaultKey(Effect.succeed(DEFAULT_SLOTS)),
  ),
  /** A first guess, replaced by what completed requests show. */
  prefillTokensPerSecond: TokenRate.pipe(
    Schema.withDecodingDefaultKey(Effect.succeed(DEFAULT_PREFILL_TOKENS_PER_SECOND)),
  ),
  /** A first guess for one stream, replaced by what completed requests show. */
  decodeTokensPerSecond: TokenRate.pipe(
    Schema.withDecodingDefaultKey(Effect.succeed(DEFAULT_DECODE_TOKENS_PER_SECOND)),
  ),
  /** Whether the engine refuses an order that carries an old fencing number. */
  checksFencing: Schema.Boolean.pipe(Schema.withDecodingDefaultKey(Effect.succeed(false))),
  /** Whether a move must order the engine to load the version before it can serve. */
  loadByOrder: Schema.Boolean.pipe(Schema.withDecodingDefaultKey(Effect.succeed(false))),
});
export type Endpoint = typeof Endpoint.Type;
