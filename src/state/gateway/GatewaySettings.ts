import * as Schema from 'effect/Schema';

/** 0 takes any free port. */
const Port = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 65_535 }));
const NonNegative = Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 1e12 }));

/** An address to listen at. */
export const ListenAddress = Schema.Struct({ host: Schema.NonEmptyString, port: Port });
export type ListenAddress = typeof ListenAddress.Type;

/** The figures of the deployment's promises that a gateway acts on. */
export const GatewayBounds = Schema.Struct({
  /** Time from SIGTERM to SIGKILL. */
  graceMs: NonNegative,
  /** Repeats that a service may get, as a share of its requests, over a window and with a slack. */
  retryRatio: NonNegative,
  retrySlack: NonNegative,
  retryWindowMs: NonNegative,
  /** How far the use of a quota may go over its window. */
  quotaWindowMs: NonNegative,
  quotaOvershoot: NonNegative,
  quotaSlack: NonNegative,
  /** Longest time that callers keep a list of addresses. */
  addressesKeepMs: NonNegative,
});
export type GatewayBounds = typeof GatewayBounds.Type;

/** What one gateway process is told at its start. */
export const GatewaySettings = Schema.Struct({
  instance: Schema.NonEmptyString,
  failureDomain: Schema.NonEmptyString,
  region: Schema.NonEmptyString,
  /** Where callers send requests. */
  callers: ListenAddress,
  /** Where the platform asks whether this process is ready. */
  readiness: ListenAddress,
  /** Where callers ask which addresses to use. */
  directory: ListenAddress,
  peers: ListenAddress,
  /** `IP:PORT` under which peers reach this one, where it isn't the address that it listens at. */
  advertisedPeerAddress: Schema.optionalKey(Schema.NonEmptyString),
  metrics: ListenAddress,
  /** Peer addresses to begin with; some may be stale. */
  seeds: Schema.Array(Schema.NonEmptyString),
  /** `http://IP:PORT` of the platform's store. */
  storeAddress: Schema.NonEmptyString,
  /** Cores that the process may use; the strongest instances do what is done for all. */
  cores: Schema.Finite.check(Schema.isBetween({ minimum: 0.01, maximum: 4_096 })),
  bounds: GatewayBounds,
});
export type GatewaySettings = typeof GatewaySettings.Type;
