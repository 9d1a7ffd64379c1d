import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';

const KIB = 1024;
const MIB = 1024 * KIB;

const withDefault = <S extends Schema.Top>(schema: S, value: S['Encoded']) =>
  schema.pipe(Schema.withDecodingDefaultKey(Effect.succeed(value)));

const integerBetween = (minimum: number, maximum: number) =>
  Schema.Int.check(Schema.isBetween({ minimum, maximum }));

const SocketAddress = Schema.String.check(Schema.isPattern(/^[0-9.]+:[0-9]{1,5}$/));

/** Limits on the resources that callers can use at an entry. */
export const EntryLimits = Schema.Struct({
  maximumBodyBytes: withDefault(integerBetween(1, 64 * MIB), 4 * MIB),
  maximumHeaderBytes: withDefault(integerBetween(KIB, 256 * KIB), 16 * KIB),
  maximumHeaderCount: withDefault(integerBetween(8, 1_000), 64),
  /** Time within which a caller must send the complete head and body. */
  receiveTimeoutMs: withDefault(integerBetween(100, 600_000), 10_000),
  maximumDeadlineMs: withDefault(integerBetween(1_000, 3_600_000), 600_000),
  maximumConnections: withDefault(integerBetween(1, 100_000), 4_000),
  /** Waiting and running requests of one entry. */
  maximumRequests: withDefault(integerBetween(1, 1_000_000), 20_000),
  /** Time that a draining entry waits for running requests before it exits. */
  drainTimeoutMs: withDefault(integerBetween(0, 3_600_000), 600_000),
});
export type EntryLimits = typeof EntryLimits.Type;

/** Intervals and timeouts of membership, scheduling and recovery. */
export const EntryTiming = Schema.Struct({
  probeIntervalMs: withDefault(integerBetween(50, 60_000), 500),
  probeTimeoutMs: withDefault(integerBetween(10, 10_000), 200),
  /** Time after which a suspected member that doesn't refute the suspicion is declared dead. */
  suspicionMs: withDefault(integerBetween(100, 60_000), 1_000),
  /** Time without contact with its peers after which an incarnation exits. */
  incarnationLeaseMs: withDefault(integerBetween(200, 60_000), 3_000),
  /** Time that peers wait after the lease has expired before they report a request as not run. */
  incarnationLeaseMarginMs: withDefault(integerBetween(100, 60_000), 1_000),
  /** Time for which callers may cache the list of entries. */
  entriesKeepMs: withDefault(integerBetween(100, 600_000), 5_000),
  /** Time without an event after which an engine's stream is resumed on a new connection. */
  streamSilenceMs: withDefault(integerBetween(50, 60_000), 2_000),
  /** Idle time after which a connection isn't used for a non-idempotent request. */
  connectionTrustMs: withDefault(integerBetween(100, 60_000), 4_000),
  connectTimeoutMs: withDefault(integerBetween(50, 60_000), 1_000),
  loadReportIntervalMs: withDefault(integerBetween(50, 60_000), 500),
  moveLeaseMs: withDefault(integerBetween(500, 600_000), 5_000),
});
export type EntryTiming = typeof EntryTiming.Type;

/** Settings of an entry process, read at its start. */
export const EntrySettings = Schema.Struct({
  /** `IP:PORT` that callers connect to; port 0 selects a free port. */
  callerAddress: SocketAddress,
  /** `IP:PORT` that peers connect to; port 0 selects a free port. */
  peerAddress: SocketAddress,
  failureDomain: Schema.NonEmptyString,
  region: withDefault(Schema.NonEmptyString, 'default'),
  platform: Schema.Struct({
    /** `http://IP:PORT` of the object API. */
    address: Schema.String.check(Schema.isPattern(/^http:\/\/[0-9.]+:[0-9]{1,5}$/)),
    namespace: withDefault(Schema.NonEmptyString, 'default'),
    /** Bearer token; absent if the platform requires none. */
    token: Schema.optionalKey(Schema.NonEmptyString),
    timeoutMs: withDefault(integerBetween(50, 60_000), 1_000),
  }),
  /** Shared secret by which peers authenticate each other; never logged. */
  peerSecret: Schema.String.check(Schema.isMinLength(16)),
  /** Peer addresses to try while the platform's list of instances is unavailable. */
  seeds: withDefault(Schema.Array(SocketAddress), []),
  logLevel: withDefault(Schema.Literals(['debug', 'info', 'warn', 'error', 'silent']), 'info'),
  limits: withDefault(EntryLimits, {}),
  timing: withDefault(EntryTiming, {}),
  /** Alternative policies, used as baselines in measurements; `product` in production. */
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
