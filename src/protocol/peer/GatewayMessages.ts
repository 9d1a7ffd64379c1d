import * as Schema from 'effect/Schema';

const Milliseconds = Schema.Finite;

/** A request that waits for a slot at a model engine, as its gateway reports it to the scheduler. */
export const PlacementTicket = Schema.Struct({
  /** Unique per attempt of a request. */
  id: Schema.NonEmptyString,
  service: Schema.NonEmptyString,
  route: Schema.String,
  account: Schema.optionalKey(Schema.String),
  /** Rank of the client account, compared before that of the route; 0 is served first. */
  accountPriority: Schema.Finite,
  /** Rank of the route; 0 is served first. */
  priority: Schema.Finite,
  promptTokens: Schema.Finite,
  /** Expected length of the response in tokens. */
  outputTokens: Schema.Finite,
  /** Units of the account's quota to deduct; 0 if they were already deducted. */
  quotaUnits: Schema.Finite,
  /** Time left, when the message was sent, until the first token is due. */
  targetMs: Milliseconds,
  /** Target for the longest pause between tokens. */
  gapMs: Milliseconds,
  /** Tokens per event of the response stream. */
  tokensPerEvent: Schema.Finite,
  /** Time left, when the message was sent, until the response must be complete. */
  remainingMs: Milliseconds,
  /** Endpoints that rejected an earlier attempt. */
  avoid: Schema.Array(Schema.String).check(Schema.isMaxLength(16)),
});
export type PlacementTicket = typeof PlacementTicket.Type;

/** A request that occupies a slot at an endpoint. */
export const ActivePlacement = Schema.Struct({
  ticket: PlacementTicket,
  endpoint: Schema.NonEmptyString,
  /** Time since the slot was granted. */
  ageMs: Milliseconds,
  /** Whether the first token has been received. */
  started: Schema.Boolean,
});
export type ActivePlacement = typeof ActivePlacement.Type;

/** Why the scheduler refused a slot. */
export const PlacementRefusalReason = Schema.Literals([
  'overload',
  'quota',
  'deadline',
  'noEndpoint',
  'unknownAccount',
]);
export type PlacementRefusalReason = typeof PlacementRefusalReason.Type;

/** How an attempt at an endpoint ended, as the gateway that sent it observed. */
export const PlacementResult = Schema.Struct({
  /**
   * `served`: the response is complete; `failed`: the endpoint failed; `turnedAway`: the endpoint
   * stated that it did not run the request; `unreachable`: no connection; `cancelled`: the caller
   * disconnected or the deadline passed; `unused`: the slot was no longer needed.
   */
  outcome: Schema.Literals([
    'served',
    'failed',
    'turnedAway',
    'unreachable',
    'cancelled',
    'unused',
  ]),
  /** Time from the first byte to the end of the response. */
  decodeMs: Schema.optionalKey(Milliseconds),
  outputTokens: Schema.optionalKey(Schema.Finite),
});
export type PlacementResult = typeof PlacementResult.Type;

/** Kinds of store objects whose changes gateways relay to each other. */
export const WatchedKind = Schema.Literals(['configuration', 'endpoints']);
export type WatchedKind = typeof WatchedKind.Type;

/** Messages between gateways: placement at the scheduling gateway, and relayed changes of the store. */
export const GatewayMessages = [
  Schema.TaggedStruct('placementRequest', { tickets: Schema.Array(PlacementTicket) }),
  Schema.TaggedStruct('placementGrant', {
    id: Schema.NonEmptyString,
    endpoint: Schema.NonEmptyString,
  }),
  Schema.TaggedStruct('placementRefusal', {
    id: Schema.NonEmptyString,
    reason: PlacementRefusalReason,
    retryAfterMs: Milliseconds,
  }),
  Schema.TaggedStruct('placementWithdraw', { ids: Schema.Array(Schema.NonEmptyString) }),
  Schema.TaggedStruct('placementStarted', {
    id: Schema.NonEmptyString,
    firstTokenMs: Milliseconds,
  }),
  Schema.TaggedStruct('placementEnd', { id: Schema.NonEmptyString, result: PlacementResult }),
  /** All running and waiting requests of a gateway; replaces the scheduler's record of that gateway. */
  Schema.TaggedStruct('placementState', {
    running: Schema.Array(ActivePlacement),
    waiting: Schema.Array(PlacementTicket),
  }),
  /** Heartbeat of the scheduler to the gateways that recently sent it requests. */
  Schema.TaggedStruct('schedulerAlive', { configurationVersion: Schema.Finite }),
  /** Estimated engine speeds, which another gateway needs to take over scheduling. */
  Schema.TaggedStruct('schedulerNotes', {
    engines: Schema.Array(
      Schema.Struct({
        endpoint: Schema.NonEmptyString,
        /** Prefill time per prompt token. */
        readMsPerToken: Milliseconds,
        decodeMsPerToken: Milliseconds,
      }),
    ),
  }),
  /** Changes of the store, relayed by a gateway that watches it to those that don't. */
  Schema.TaggedStruct('storeChanges', {
    kind: WatchedKind,
    /** The message holds all changes after this store revision, up to and including `toRevision`. */
    fromRevision: Schema.Finite,
    toRevision: Schema.Finite,
    /** Whether the store was unavailable shortly before, so that missing endpoints may reappear. */
    afterOutage: Schema.Boolean,
    /** Time for which the sender still keeps missing endpoints, so that all stop at the same time. */
    graceMs: Schema.optionalKey(Milliseconds),
    changes: Schema.Array(
      Schema.Struct({
        removed: Schema.Boolean,
        object: Schema.Struct({
          name: Schema.String,
          revision: Schema.Finite,
          spec: Schema.Unknown,
          status: Schema.Unknown,
        }),
      }),
    ),
  }),
  /** Heartbeat of a gateway that watches the store for others. */
  Schema.TaggedStruct('storeWatcherAlive', {
    /** Whether the store responds to the sender. */
    reached: Schema.Boolean,
    /** Store revision of the last configuration change that the sender has seen. */
    configurationRevision: Schema.Finite,
    /** Store revision of the last endpoint change that the sender has seen. */
    endpointsRevision: Schema.Finite,
    /**
     * Store revisions at which a complete view holds all that the sender's view holds. They may be
     * higher than those of the last changes, because a list doesn't tell what it left out.
     */
    completeSince: Schema.optionalKey(
      Schema.Struct({ configuration: Schema.Finite, endpoints: Schema.Finite }),
    ),
    /** Time since the store last confirmed the sender's view of both kinds. */
    confirmedMsAgo: Schema.optionalKey(Milliseconds),
  }),
] as const;
