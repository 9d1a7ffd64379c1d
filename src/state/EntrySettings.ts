import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';

const KIB = 1024;
const MIB = 1024 * KIB;

const withDefault = <S extends Schema.Top>(schema: S, value: S['Encoded']) =>
  schema.pipe(Schema.withDecodingDefaultKey(Effect.succeed(value)));

const integerBetween = (minimum: number, maximum: number) =>
  Schema.Int.check(Schema.isBetween({ minimum, maximum }));

const SocketAddress = Schema.String.check(Schema.isPattern(/^[0-9.]+:[0-9]{1,5}$/));

/** Sizes and times that bound what one caller can cost an entry. */
export const Limits = Schema.Struct({
  maximumBodyBytes: withDefault(integerBetween(1, 64 * MIB), 4 * MIB),
  maximumHeaderBytes: withDefault(integerBetween(KIB, 256 * KIB), 16 * KIB),
  maximumHeaderCount: withDefault(integerBetween(8, 1_000), 64),
  /** Time for a caller to send its whole head and body. */
  receiveTimeoutMs: withDefault(integerBetween(100, 600_000), 10_000),
  maximumDeadlineMs: withDefault(integerBetween(1_000, 3_600_000), 600_000),
  maximumConnections: withDefault(integerBetween(1, 100_000), 4_000),
  /** Requests that one entry holds, waiting or running. */
  maximumRequests: withDefault(integerBetween(1, 1_000_000), 20_000),
  /** Time a drained entry waits for what is in flight before it gives up. */
  drainTimeoutMs: withDefault(integerBetween(0, 3_600_000), 600_000),
});
export type Limits = typeof Limits.Type;

/** Times that membership, scheduling and recovery go by. */
export const Timing = Schema.Struct({
  probeIntervalMs: withDefault(integerBetween(50, 60_000), 500),
  probeTimeoutMs: withDefault(integerBetween(10, 10_000), 200),
  suspicionMs: withDefault(integerBetween(100, 60_000), 1_000),
  /** An incarnation unheard by its peers for this long ends itself. */
  incarnationLeaseMs: withDefault(integerBetween(200, 60_000), 3_000),
  /** What peers wait beyond the lease before they call a request not run. */
  incarnationLeaseMarginMs: withDefault(integerBetween(100, 60_000), 1_000),
  /** How long callers may keep the list of entries. */
  entriesKeepMs: withDefault(integerBetween(100, 600_000), 5_000),
  /** Silence after which an engine's stream is taken up on a new connection. */
  streamSilenceMs: withDefault(integerBetween(50, 60_000), 2_000),
  /** Idle time after which a connection isn't trusted with a non-idempotent request. */
  connectionTrustMs: withDefault(integerBetween(100, 60_000), 4_000),
  connectTimeoutMs: withDefault(integerBetween(50, 60_000), 1_000),
  loadReportIntervalMs: withDefault(integerBetween(50, 60_000), 500),
  moveLeaseMs: withDefault(integerBetween(500, 600_000), 5_000),
});
export type Timing = typeof Timing.Type;

/** What one entry process is told at its start. */
export const EntrySettings = Schema.Struct({
  /** `IP:PORT` that callers connect to; port 0 takes any free port. */
  callerAddress: SocketAddress,
  /** `IP:PORT` that peers connect to; port 0 takes any free port. */
  peerAddress: SocketAddress,
  failureDomain: Schema.NonEmptyString,
  region: withDefault(Schema.NonEmptyString, 'default'),
  platform: Schema.Struct({
    /** `http://IP:PORT` of the object API. */
    address: Schema.String.check(Schema.isPattern(/^http:\/\/[0-9.]+:[0-9]{1,5}$/)),
    namespace: withDefault(Schema.NonEmptyString, 'default'),
    /** Bearer token; left out where the platform asks for none. */
    token: Schema.optionalKey(Schema.NonEmptyString),
    timeoutMs: withDefault(integerBetween(50, 60_000), 1_000),
  }),
  /** Peers authenticate each other by this; never logged. */
  peerSecret: Schema.String.check(Schema.isMinLength(16)),
  /** Peer addresses to try while the platform's list is away. */
  seeds: withDefault(Schema.Array(SocketAddress), []),
  logLevel: withDefault(Schema.Literals(['debug', 'info', 'warn', 'error', 'silent']), 'info'),
  limits: withDefault(Limits, {}),
  timing: withDefault(Timing, {}),
  /** Baselines that measurements compare with; `product` everywhere else. */
  policy: withDefault(
    Schema.Struct({
      order: withDefault(Schema.Literals(['product', 'first_come']), 'product'),
      placement: withDefault(Schema.Literals(['product', 'round_robin']), 'product'),
      admission: withDefault(Schema.Literals(['product', 'none']), 'product'),
      accountLimits: withDefault(Schema.Literals(['product', 'per_entry']), 'product'),
    }),
    {},
  ),
});
export type EntrySettings = typeof EntrySettings.Type;
