import * as Schema from 'effect/Schema';

/** Whether a route's requests may be retried, and whether its responses are streams. */
export const RouteKind = Schema.Literals(['safe', 'unsafe', 'stream']);
export type RouteKind = typeof RouteKind.Type;

/** A service of a route, with its weight among the route's services. */
export const WeightedService = Schema.Struct({
  service: Schema.String,
  weight: Schema.Finite,
});
export type WeightedService = typeof WeightedService.Type;

/** Services, timeouts and retry limits of the requests with one host and path prefix. */
export const Route = Schema.Struct({
  name: Schema.String,
  host: Schema.String,
  /** Starts and ends with a slash. */
  pathPrefix: Schema.String,
  kind: RouteKind,
  timeoutMs: Schema.Finite,
  /** Latency target of the response, or of a stream's first event. */
  targetLatencyMs: Schema.Finite,
  /** Target for the longest pause between a stream's events. */
  targetGapMs: Schema.Finite,
  /** Rank of the route; 0 is served first. */
  priority: Schema.Finite,
  /** At least one service; the weight of a single service has no effect. */
  services: Schema.Array(WeightedService),
  /** Upper limit of attempts per request, the first included. */
  maximumAttempts: Schema.Finite,
  /** Whether requests need no account key. */
  anonymous: Schema.Boolean,
  /** Whether a broken stream may be resumed at another endpoint. */
  resumable: Schema.Boolean,
});
export type Route = typeof Route.Type;

/** Capacity of each model engine of a service. */
export const EngineLimits = Schema.Struct({
  /** Requests that an engine processes concurrently. */
  slots: Schema.Finite,
  /** Capacity of an engine's KV cache in tokens. */
  memoryTokens: Schema.Finite,
  /** Tokens per stream event. */
  tokensPerEvent: Schema.Finite,
});
export type EngineLimits = typeof EngineLimits.Type;

/** How endpoints behave while they are cold: after a start, and whenever they say so. */
export const ColdStart = Schema.Struct({
  /** Time for which an endpoint is cold after its start, in ms. */
  durationMs: Schema.Finite,
  /** Requests a second that a cold endpoint bears; 0 if it bears as many as a warm one. */
  requestsPerSecond: Schema.Finite,
});
export type ColdStart = typeof ColdStart.Type;

/** A group of interchangeable endpoints. */
export const Service = Schema.Struct({
  name: Schema.String,
  /** Path of the endpoints' health check. */
  healthPath: Schema.String,
  /** Connections that one endpoint accepts from all clients together. */
  maximumConnections: Schema.Finite,
  /** Present where the endpoints are model engines. */
  engine: Schema.optionalKey(EngineLimits),
  /** Present where endpoints are slow, and bear few requests, for a time after their start. */
  coldStart: Schema.optionalKey(ColdStart),
});
export type Service = typeof Service.Type;

/** Rate limit of a client account in tokens or requests; a rate of 0 means no limit. */
export const AccountQuota = Schema.Struct({
  unit: Schema.Literals(['tokens', 'requests']),
  ratePerSecond: Schema.Finite,
  burst: Schema.Finite,
  /** Units deducted for a request without a token count. */
  defaultTokens: Schema.Finite,
});
export type AccountQuota = typeof AccountQuota.Type;

/** A client account with its API keys. */
export const Account = Schema.Struct({
  name: Schema.String,
  keys: Schema.Array(Schema.String),
  /** Rank compared before the route's; 0 is served first. */
  priority: Schema.optionalKey(Schema.Finite),
  quota: AccountQuota,
});
export type Account = typeof Account.Type;

/** Size and time limits of a client connection. */
export const ClientLimits = Schema.Struct({
  maximumHeaderBytes: Schema.Finite,
  maximumBodyBytes: Schema.Finite,
  headerTimeoutMs: Schema.Finite,
  idleTimeoutMs: Schema.Finite,
});
export type ClientLimits = typeof ClientLimits.Type;

/** Limits until the first configuration, and where one states none. */
export const DEFAULT_CLIENT_LIMITS: ClientLimits = {
  maximumHeaderBytes: 16_384,
  maximumBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** A gateway's complete configuration as the operator wrote it: routes, services, accounts and limits. Versions increase, but not always by one. */
export const RouteTable = Schema.Struct({
  version: Schema.Finite,
  routes: Schema.Array(Route),
  services: Schema.Array(Service),
  /** Absent if requests need no account keys. */
  accounts: Schema.optionalKey(Schema.Array(Account)),
  limits: ClientLimits,
  /** Number of entries that couldn't be read; absent if all could. */
  leftOut: Schema.optionalKey(Schema.Finite),
});
export type RouteTable = typeof RouteTable.Type;
