import * as Schema from 'effect/Schema';

const Milliseconds = Schema.Finite;
const Share = Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 1 }));

/** How a request to one endpoint ended, as evidence on the endpoint's version. */
export const VersionObservation = Schema.Struct({
  /** Increases with each observation of a gateway. */
  number: Schema.Finite,
  route: Schema.String,
  version: Schema.String,
  /** One start of an endpoint. */
  endpoint: Schema.NonEmptyString,
  /**
   * `served`: a whole response below 500; `failed`: a response of 500 or above, or one that was unusable;
   * `broken`: the connection was lost; `cancelled`: given up, so that `totalMs` is a lower bound.
   */
  outcome: Schema.Literals(['served', 'failed', 'broken', 'cancelled']),
  /** Time from sending to the end. */
  totalMs: Milliseconds,
  promptTokens: Schema.Finite,
  /** Tokens received; for a cancelled request, the tokens until then. */
  outputTokens: Schema.Finite,
  /** Whether the endpoint was known to be slow after its start. */
  cold: Schema.optionalKey(Schema.Boolean),
  /** Time since the end. */
  ageMs: Milliseconds,
});
export type VersionObservation = typeof VersionObservation.Type;

/** Requests of one gateway to one version of a service. */
export const VersionCount = Schema.Struct({
  version: Schema.String,
  /** Requests sent since the order, or since the gateway saw two versions. */
  sent: Schema.Finite,
  /** Requests sent that have not ended. */
  running: Schema.Finite,
});
export type VersionCount = typeof VersionCount.Type;

/** What a gateway knows of a service with two versions. */
export const RolloutReport = Schema.Struct({
  service: Schema.NonEmptyString,
  counts: Schema.Array(VersionCount),
  observations: Schema.Array(VersionObservation),
  /** Name of the step that is in force at the sender; absent before the first one. */
  step: Schema.optionalKey(Schema.String),
  /** Time since the order, and its target, as far as the sender knows. */
  order: Schema.optionalKey(Schema.Struct({ target: Schema.String, ageMs: Milliseconds })),
  /** Versions that the sender knows to be bad. */
  condemned: Schema.Array(Schema.String),
});
export type RolloutReport = typeof RolloutReport.Type;

/** What gateways may send to the versions of a service until the next step, or until it expires. */
export const RolloutStep = Schema.Union([
  /** It isn't known yet whether there is an order; newcomers get a share. */
  Schema.TaggedStruct('unread', { service: Schema.NonEmptyString, share: Share }),
  /** The store holds no order: endpoints of any version are used. */
  Schema.TaggedStruct('unordered', { service: Schema.NonEmptyString }),
  /** The target gets a share of each route's requests. */
  Schema.TaggedStruct('trial', {
    service: Schema.NonEmptyString,
    target: Schema.NonEmptyString,
    /** Share of routes that aren't listed. */
    share: Share,
    routeShares: Schema.Array(Schema.Struct({ route: Schema.String, share: Share })),
    orderAgeMs: Milliseconds,
  }),
  /** The target gets all new requests, while those at the old endpoints end. */
  Schema.TaggedStruct('cutover', {
    service: Schema.NonEmptyString,
    target: Schema.NonEmptyString,
    orderAgeMs: Milliseconds,
  }),
  /** The store holds the final state `completed`. */
  Schema.TaggedStruct('completed', {
    service: Schema.NonEmptyString,
    target: Schema.NonEmptyString,
  }),
  /** The target is bad, or there is no evidence that it is good: it gets nothing. */
  Schema.TaggedStruct('rolledBack', {
    service: Schema.NonEmptyString,
    target: Schema.NonEmptyString,
  }),
]);
export type RolloutStep = typeof RolloutStep.Type;
