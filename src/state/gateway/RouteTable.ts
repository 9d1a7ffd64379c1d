import * as Schema from 'effect/Schema';

/** What may be repeated of a route's requests, and what its answers look like. */
export const RouteKind = Schema.Literals(['safe', 'unsafe', 'stream']);
export type RouteKind = typeof RouteKind.Type;

/** One of the services that a split route sends to. */
export const WeightedService = Schema.Struct({
  service: Schema.String,
  weight: Schema.Finite,
});
export type WeightedService = typeof WeightedService.Type;

/** Where requests of one host and path prefix go, and within which bounds. */
export const Route = Schema.Struct({
  name: Schema.String,
  host: Schema.String,
  /** Begins and ends with a slash. */
  pathPrefix: Schema.String,
  kind: RouteKind,
  timeoutMs: Schema.Finite,
  /** Time to the answer, or to a stream's first event, within which it is on time. */
  targetLatencyMs: Schema.Finite,
  /** Longest pause between a stream's events within which it is on time. */
  targetGapMs: Schema.Finite,
  /** Rank; 0 is served first. */
  priority: Schema.Finite,
  /** At least one; weights count only among several. */
  services: Schema.Array(WeightedService),
  maximumAttempts: Schema.Finite,
  anonymous: Schema.Boolean,
  /** Whether a broken stream may go on at another endpoint. */
  resumable: Schema.Boolean,
});
export type Route = typeof Route.Type;

/** What a service's model engines have in common. */
export const EngineLimits = Schema.Struct({
  /** Requests that an engine runs at once. */
  slots: Schema.Finite,
  /** Tokens that an engine keeps in memory. */
  memoryTokens: Schema.Finite,
  /** Tokens that one stream event holds. */
  tokensPerEvent: Schema.Finite,
});
export type EngineLimits = typeof EngineLimits.Type;

/** A group of endpoints that answer the same requests. */
export const Service = Schema.Struct({
  name: Schema.String,
  healthPath: Schema.String,
  /** Connections that one endpoint accepts from all callers together. */
  maximumConnections: Schema.Finite,
  /** Present where the endpoints are model engines. */
  engine: Schema.optionalKey(EngineLimits),
});
export type Service = typeof Service.Type;

/** Tokens or requests that a client account may use; a rate of 0 is no limit. */
export const AccountQuota = Schema.Struct({
  unit: Schema.Literals(['tokens', 'requests']),
  ratePerSecond: Schema.Finite,
  burst: Schema.Finite,
  /** Units that a request without a token count stands for. */
  defaultTokens: Schema.Finite,
});
export type AccountQuota = typeof AccountQuota.Type;

/** A client account with the keys that its requests carry. */
export const Account = Schema.Struct({
  name: Schema.String,
  keys: Schema.Array(Schema.String),
  /** Goes before the route's rank where present. */
  priority: Schema.optionalKey(Schema.Finite),
  quota: AccountQuota,
});
export type Account = typeof Account.Type;

/** What bounds one client's use of a connection. */
export const ClientLimits = Schema.Struct({
  maximumHeaderBytes: Schema.Finite,
  maximumBodyBytes: Schema.Finite,
  headerTimeoutMs: Schema.Finite,
  idleTimeoutMs: Schema.Finite,
});
export type ClientLimits = typeof ClientLimits.Type;

/** A whole configuration as the operator wrote it; versions grow in uneven steps. */
export const RouteTable = Schema.Struct({
  version: Schema.Finite,
  routes: Schema.Array(Route),
  services: Schema.Array(Service),
  /** Undefined where requests carry no keys at all. */
  accounts: Schema.optionalKey(Schema.Array(Account)),
  limits: ClientLimits,
});
export type RouteTable = typeof RouteTable.Type;
