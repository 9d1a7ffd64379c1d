import * as Schema from 'effect/Schema';

const Milliseconds = Schema.Finite;

/** A request that waits for a slot at a model engine, as its gateway describes it to the scheduler. */
export const PlacementTicket = Schema.Struct({
  /** Unique to one try of one request. */
  id: Schema.NonEmptyString,
  service: Schema.NonEmptyString,
  route: Schema.String,
  account: Schema.optionalKey(Schema.String),
  /** Rank of the client account, which goes before that of the route; 0 is served first. */
  accountPriority: Schema.Finite,
  /** Rank of the route; 0 is served first. */
  priority: Schema.Finite,
  promptTokens: Schema.Finite,
  /** Expected length of the answer. */
  outputTokens: Schema.Finite,
  /** Units of the account's quota that it takes; 0 where they were taken before. */
  quotaUnits: Schema.Finite,
  /** Time left to the first token for the answer to be on time, when it was sent. */
  targetMs: Milliseconds,
  /** Longest pause between tokens for the answer to be on time. */
  gapMs: Milliseconds,
  /** Tokens that one event of the answer holds. */
  tokensPerEvent: Schema.Finite,
  /** Time left to the end of the answer, when it was sent. */
  remainingMs: Milliseconds,
  /** Endpoints that turned it away. */
  avoid: Schema.Array(Schema.String).check(Schema.isMaxLength(16)),
});
export type PlacementTicket = typeof PlacementTicket.Type;

/** A request that runs at an endpoint. */
export const ActivePlacement = Schema.Struct({
  ticket: PlacementTicket,
  endpoint: Schema.NonEmptyString,
  /** Time since the slot was granted. */
  ageMs: Milliseconds,
  /** Whether the first token has come. */
  started: Schema.Boolean,
});
export type ActivePlacement = typeof ActivePlacement.Type;

/** Why a request gets no slot. */
export const PlacementRefusalReason = Schema.Literals([
  'overload',
  'quota',
  'deadline',
  'noEndpoint',
  'unknownAccount',
]);
export type PlacementRefusalReason = typeof PlacementRefusalReason.Type;

/** How a request at an endpoint ended, seen by the gateway that sent it. */
export const PlacementResult = Schema.Struct({
  /**
   * `served`: complete; `failed`: the endpoint failed it; `turnedAway`: the endpoint stated that it
   * didn't run; `unreachable`: no connection; `cancelled`: the caller left or its time was over;
   * `unused`: the slot wasn't needed any more.
   */
  outcome: Schema.Literals([
    'served',
    'failed',
    'turnedAway',
    'unreachable',
    'cancelled',
    'unused',
  ]),
  decodeMs: Schema.optionalKey(Milliseconds),
  outputTokens: Schema.optionalKey(Schema.Finite),
});
export type PlacementResult = typeof PlacementResult.Type;

/** Kinds of the store's objects that every gateway follows. */
export const WatchedKind = Schema.Literals(['configuration', 'endpoints']);
export type WatchedKind = typeof WatchedKind.Type;

/** Messages between gateways and the one that schedules the model engines. */
export const PlacementMessages = [
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
  /** All that a gateway runs and waits for; replaces what the scheduler held of it. */
  Schema.TaggedStruct('placementState', {
    running: Schema.Array(ActivePlacement),
    waiting: Schema.Array(PlacementTicket),
  }),
  /** Sign of life of the scheduler to those who wait. */
  Schema.TaggedStruct('schedulerAlive', { configurationVersion: Schema.Finite }),
  /** What a gateway needs to schedule in the place of this one: the speeds of engines. */
  Schema.TaggedStruct('schedulerNotes', {
    engines: Schema.Array(
      Schema.Struct({
        endpoint: Schema.NonEmptyString,
        readMsPerToken: Milliseconds,
        decodeMsPerToken: Milliseconds,
      }),
    ),
  }),
  /** Changes of the store, from one that watches it to those that don't. */
  Schema.TaggedStruct('storeChanges', {
    kind: WatchedKind,
    /** The changes are complete between these two revisions of the store. */
    fromRevision: Schema.Finite,
    toRevision: Schema.Finite,
    /** Whether the store was away a moment ago, so that missing endpoints may come back. */
    afterOutage: Schema.Boolean,
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
  /** Sign of life of one that watches the store for others. */
  Schema.TaggedStruct('storeWatcherAlive', {
    /** Whether the store answers it. */
    reached: Schema.Boolean,
    /** Store revisions of the last changes that it has seen. */
    configurationRevision: Schema.Finite,
    endpointsRevision: Schema.Finite,
  }),
] as const;
