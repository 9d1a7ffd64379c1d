import * as Schema from 'effect/Schema';

/** Port 0 selects a free port. */
const Port = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 65_535 }));
const NonNegative = Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 1e12 }));

/** An address to listen on. */
export const ListenAddress = Schema.Struct({ host: Schema.NonEmptyString, port: Port });
export type ListenAddress = typeof ListenAddress.Type;

/** What a process may use before the platform ends it, or refuses it more. */
export const ProcessResources = Schema.Struct({
  memoryBytes: Schema.Finite.check(Schema.isBetween({ minimum: 1e6, maximum: 1e13 })),
  /** Open sockets and files. */
  descriptors: Schema.Finite.check(Schema.isBetween({ minimum: 64, maximum: 1e8 })),
});
export type ProcessResources = typeof ProcessResources.Type;

/** Service-level bounds of the deployment that a gateway enforces. */
export const GatewayBounds = Schema.Struct({
  /** Time from SIGTERM to SIGKILL. */
  graceMs: NonNegative,
  /** Retries that a service may receive within the window, as a share of its requests. */
  retryRatio: NonNegative,
  /** Additional retries within the window, by all gateways together. */
  retrySlack: NonNegative,
  /** Window over which retries are counted. */
  retryWindowMs: NonNegative,
  /** Window over which the use of a quota is counted. */
  quotaWindowMs: NonNegative,
  /** Permitted use above a quota, as a share of the quota. */
  quotaOvershoot: NonNegative,
  /** Permitted use above a quota in units, in addition to `quotaOvershoot`. */
  quotaSlack: NonNegative,
  /**
   * Time after its acknowledgement by which a drain of a failure domain must be in force at every gateway. Drains are
   * followed only if it is present.
   */
  domainDrainMs: Schema.optionalKey(NonNegative),
  /**
   * Factor by which the requests to a cold endpoint in any second may exceed those that it bears. Cold endpoints are
   * bounded only if this or `coldSlack` is present.
   */
  coldOvershoot: Schema.optionalKey(NonNegative),
  /** Requests to a cold endpoint in any second, in addition to `coldOvershoot`. */
  coldSlack: Schema.optionalKey(NonNegative),
  /** Longest time for which callers cache the list of addresses. */
  addressesKeepMs: NonNegative,
  /** Bounds of canary roll-outs; roll-outs are driven only where this is present. */
  rollouts: Schema.optionalKey(
    Schema.Struct({
      /** Part of a service's requests that a bad version may get in the time of its roll-out. */
      exposeShare: NonNegative,
      /** Requests that a bad version may get in addition. */
      exposeSlack: NonNegative,
      /** Time after the 50th bad response from which a bad version may get no requests. */
      rollbackMs: NonNegative,
    }),
  ),
});
export type GatewayBounds = typeof GatewayBounds.Type;

/** Above this share, second copies would be a load of their own and not the remedy of a few slow requests. */
export const MAXIMUM_HEDGE_SHARE = 0.2;

/** Settings of a gateway process, read at its start. */
export const GatewaySettings = Schema.Struct({
  instance: Schema.NonEmptyString,
  failureDomain: Schema.NonEmptyString,
  region: Schema.NonEmptyString,
  /** Address of the server for callers' requests. */
  callers: ListenAddress,
  /** Address of the platform's readiness check. */
  readiness: ListenAddress,
  /** Address of the server that lists the gateways' addresses for callers. */
  directory: ListenAddress,
  /** Address of the server for peers. */
  peers: ListenAddress,
  /** `IP:PORT` under which peers reach this gateway, if it differs from `peers`. */
  advertisedPeerAddress: Schema.optionalKey(Schema.NonEmptyString),
  /** Address of the metrics server. */
  metrics: ListenAddress,
  /** Initial peer addresses; some may be stale. */
  seeds: Schema.Array(Schema.NonEmptyString),
  /** `http://IP:PORT` of the platform's store. */
  storeAddress: Schema.NonEmptyString,
  /**
   * CPU cores that the process may use. The gateway with the most schedules for all; in each failure
   * domain, the one with the most watches the store.
   */
  cores: Schema.Finite.check(Schema.isBetween({ minimum: 0.01, maximum: 4_096 })),
  /** Memory and descriptors of the process; a small instance's if absent. */
  resources: Schema.optionalKey(ProcessResources),
  bounds: GatewayBounds,
  /** Whether no process of the group has run before, which could have used a part of the group's bounds. */
  isFirstStart: Schema.optionalKey(Schema.Boolean),
  /** Second copies of slow requests; none are sent if it is absent. */
  hedging: Schema.optionalKey(
    Schema.Struct({
      /** Second copies as a share of the requests, over all gateways; 0 allows none. */
      share: Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: MAXIMUM_HEDGE_SHARE })),
    }),
  ),
});
export type GatewaySettings = typeof GatewaySettings.Type;
