import * as Schema from 'effect/Schema';
import { RolloutReport, RolloutStep } from './RolloutMessages.ts';

const Milliseconds = Schema.Finite;

/** Most endpoints that a ticket excludes. */
export const MAXIMUM_EXCLUDED_ENDPOINTS = 64;
const MAXIMUM_PROMPT_PARTS = 32;
const MAXIMUM_PART_ID_LENGTH = 64;

const PromptPart = Schema.String.check(Schema.isMaxLength(MAXIMUM_PART_ID_LENGTH));
const PromptParts = Schema.Array(PromptPart).check(Schema.isMaxLength(MAXIMUM_PROMPT_PARTS));

/** Returns the ids of prompt parts that a message may carry, so that it stays small. */
export const limitPromptParts = (ids: readonly string[]): readonly string[] =>
  ids.filter(({ length }) => length <= MAXIMUM_PART_ID_LENGTH).slice(0, MAXIMUM_PROMPT_PARTS);

/** A request that waits for a slot at a model engine, as its gateway reports it to the scheduler. */
export const PlacementTicket = Schema.Struct({
  /** Unique per attempt of a request. */
  id: Schema.NonEmptyString,
  service: Schema.NonEmptyString,
  route: Schema.String,
  account: Schema.optionalKey(Schema.String),
  /** Rank of the client account, compared before that of the route; 0 is served first. */
  accountPriority: Schema.Finite,
  /** Tokens per second of the account's quota, which weigh its share under contention; absent without one. */
  accountWeight: Schema.optionalKey(Schema.Finite),
  /** Rank of the route; 0 is served first. */
  priority: Schema.Finite,
  promptTokens: Schema.Finite,
  /** Expected length of the response in tokens. */
  outputTokens: Schema.Finite,
  /** Units of the account's quota to deduct; 0 if they were already deducted. */
  quotaUnits: Schema.Finite,
  /** Time left, when the message was sent, until the first token is due. */
  targetMs: Milliseconds,
  /** Time since the first attempt of a caller that retries; absent if this may be the first one. */
  retriedAfterMs: Schema.optionalKey(Milliseconds),
  /** Target for the longest pause between tokens. */
  gapMs: Milliseconds,
  /** Tokens per event of the response stream. */
  tokensPerEvent: Schema.Finite,
  /** Time left, when the message was sent, until the response must be complete. */
  remainingMs: Milliseconds,
  /** Endpoints that rejected an earlier attempt. */
  avoid: Schema.Array(Schema.String).check(Schema.isMaxLength(16)),
  /** Endpoints to which its gateway must not send requests for so long, or at all if no time is given. */
  excluded: Schema.optionalKey(
    Schema.Array(
      Schema.Struct({ endpoint: Schema.String, forMs: Schema.optionalKey(Milliseconds) }),
    ).check(Schema.isMaxLength(MAXIMUM_EXCLUDED_ENDPOINTS)),
  ),
  /** Ids of the parts of its prompt that other requests may share, in order. */
  promptParts: Schema.optionalKey(PromptParts),
  /** Whether it is refused rather than queued, because its gateway has another endpoint for it. */
  immediate: Schema.optionalKey(Schema.Boolean),
  /** Present on the ticket of a second copy of a slow request; `failureDomain` is that of the first copy's endpoint. */
  hedge: Schema.optionalKey(Schema.Struct({ failureDomain: Schema.String })),
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
  /** A part of its prompt crashes engines. */
  'quarantined',
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

/** What an answer of an endpoint said about the requests that the endpoint bears. */
export const EndpointLimitReport = Schema.Struct({
  /** One start of an endpoint. */
  endpoint: Schema.NonEmptyString,
  /** Requests a second from all gateways together; absent if the answer stated no limit. */
  requestsPerSecond: Schema.optionalKey(Schema.Finite),
  /** Rejections a second that it bears from all gateways together; absent if the answer stated none. */
  rejectionsPerSecond: Schema.optionalKey(Schema.Finite),
  /** Time since the request was sent. */
  sentAgeMs: Milliseconds,
  /** Time since the head of the answer arrived. */
  answeredAgeMs: Milliseconds,
});
export type EndpointLimitReport = typeof EndpointLimitReport.Type;

/** A run that ended with the crash of its engine, as the gateway that sent it observed. */
export const CrashReport = Schema.Struct({
  /** Id of the placement ticket. */
  id: Schema.NonEmptyString,
  service: Schema.NonEmptyString,
  /** One start of an engine. */
  engine: Schema.NonEmptyString,
  parts: PromptParts,
  /** Identifies the request, however often it is sent. */
  fingerprint: Schema.optionalKey(PromptPart),
  /** Time since the crash. */
  ageMs: Milliseconds,
  /** Time since the sender got a sound answer of the service; absent if it never did. */
  servedAgeMs: Schema.optionalKey(Milliseconds),
});
export type CrashReport = typeof CrashReport.Type;

/** An answer to a request that was in flight at crashes, or of an endpoint that was reported as crashed. */
export const ServedReport = Schema.Struct({
  service: Schema.NonEmptyString,
  /** One start of an endpoint. */
  engine: Schema.NonEmptyString,
  fingerprint: PromptPart,
  /** Time since the answer. */
  ageMs: Milliseconds,
});
export type ServedReport = typeof ServedReport.Type;

/** A prompt part or a request's fingerprint whose requests aren't sent to the engines of a service, or no longer so. */
export const QuarantinedPart = Schema.Struct({
  service: Schema.NonEmptyString,
  part: PromptPart,
  /** Increases with each change. */
  revision: Schema.Finite,
  /** Number of times that it was found to crash engines; 0 after its release. */
  strikes: Schema.Finite,
  /** Time to the end of the present period; negative after it. */
  remainingMs: Milliseconds,
  /** Whether a request was admitted as a trial whose outcome isn't known. */
  onTrial: Schema.Boolean,
});
export type QuarantinedPart = typeof QuarantinedPart.Type;

const requestGroup = {
  service: Schema.NonEmptyString,
  route: Schema.String,
  /** Size group of the requests. */
  size: Schema.Finite,
};

/** Times from sending requests to their first byte that the sender has seen since its last report. */
export const FirstByteTimesReport = Schema.Struct({
  ...requestGroup,
  /** Pairs of a bucket of the histogram and the number of times in it. */
  counts: Schema.Array(Schema.Tuple([Schema.Finite, Schema.Finite])),
});

/** When requests of a group are slow, from the times of all gateways. */
export const SlowRequestEstimate = Schema.Struct({
  ...requestGroup,
  /** Time since sending after which a request is slow. */
  afterMs: Milliseconds,
  /** Whether the service has too few free slots for second copies. */
  isShort: Schema.Boolean,
});

/** Kinds of store objects whose changes gateways relay to each other. */
export const WatchedKind = Schema.Literals(['configuration', 'endpoints', 'domainDrains']);
export type WatchedKind = typeof WatchedKind.Type;

const StoredObject = Schema.Struct({
  name: Schema.String,
  revision: Schema.Finite,
  spec: Schema.Unknown,
  status: Schema.Unknown,
  /** Why its content was dropped. */
  fault: Schema.optionalKey(Schema.String),
});

const RevisionGap = Schema.Struct({ after: Schema.Finite, until: Schema.Finite });

/** A moment by the monotonic clock of one process, which peers can compare with others of the same clock. */
export const ClockMoment = Schema.Struct({
  /** Names the process, and the time since its last pause. */
  clock: Schema.NonEmptyString,
  /** In ms. */
  at: Schema.Finite,
});
export type ClockMoment = typeof ClockMoment.Type;

/** The latest time in which the store answered members of the group, as far as the sender has heard. */
export const StoreContactReport = Schema.Struct({
  fromMsAgo: Milliseconds,
  untilMsAgo: Milliseconds,
  /** The end, by the clock of the member that was answered; a build before doesn't state it. */
  until: Schema.optionalKey(ClockMoment),
});
export type StoreContactReport = typeof StoreContactReport.Type;

/** Messages between gateways: placement at the scheduling gateway, and relayed changes of the store. */
export const GatewayMessages = [
  Schema.TaggedStruct('placementRequest', { tickets: Schema.Array(PlacementTicket) }),
  Schema.TaggedStruct('placementGrant', {
    id: Schema.NonEmptyString,
    endpoint: Schema.NonEmptyString,
    /**
     * Time for which the ticket waited at the scheduler; the rest of the time since it was sent went by on the way. A
     * scheduler that doesn't state it doesn't count the requests of capped endpoints.
     */
    waitedMs: Schema.optionalKey(Milliseconds),
  }),
  Schema.TaggedStruct('placementRefusal', {
    id: Schema.NonEmptyString,
    reason: PlacementRefusalReason,
    retryAfterMs: Milliseconds,
  }),
  /** Tickets that wait for a slot and were charged to their quotas. */
  Schema.TaggedStruct('placementQueued', { ids: Schema.Array(Schema.NonEmptyString) }),
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
    /** Sent where second copies of slow requests are allowed. */
    firstBytes: Schema.optionalKey(Schema.Array(FirstByteTimesReport)),
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
    /** Sent where second copies of slow requests are allowed. */
    hedging: Schema.optionalKey(Schema.Array(SlowRequestEstimate)),
  }),
  /** Limits that answers to the sender stated, or that the scheduler knows. */
  Schema.TaggedStruct('endpointLimits', { limits: Schema.Array(EndpointLimitReport) }),
  /** Crashes that the sender observed, or that the scheduler relays to all. */
  Schema.TaggedStruct('crashReports', { reports: Schema.Array(CrashReport) }),
  /** Answers that the sender got, or that the scheduler relays to all. */
  Schema.TaggedStruct('servedReports', { reports: Schema.Array(ServedReport) }),
  /** Prompt parts and requests in quarantine; the receiver keeps the newest state of each. */
  Schema.TaggedStruct('quarantinedParts', { parts: Schema.Array(QuarantinedPart) }),
  /** What the sender sent to the versions of services that have two, and how it ended; goes to the scheduler. */
  Schema.TaggedStruct('rolloutReports', { reports: Schema.Array(RolloutReport) }),
  /** What each gateway may send to the versions of such services, from the scheduler. */
  Schema.TaggedStruct('rolloutSteps', { steps: Schema.Array(RolloutStep) }),
  /** Starts of endpoints that have said to the sender, in answers, that they leave. */
  Schema.TaggedStruct('endpointsLeaving', { endpoints: Schema.Array(Schema.String) }),
  /** Asks for the changes of the store that the sender lacks. */
  Schema.TaggedStruct('storeChangesRequest', {
    kind: WatchedKind,
    /** Store revision up to which the sender's view is complete; 0 if it has none. */
    sinceRevision: Schema.Finite,
  }),
  /** Changes of the store, relayed by a gateway that watches it to those that don't, or asked for. */
  Schema.TaggedStruct('storeChanges', {
    kind: WatchedKind,
    /** The message holds all changes after this store revision, up to and including `toRevision`. */
    fromRevision: Schema.Finite,
    toRevision: Schema.Finite,
    /** Time since the store confirmed the view at `toRevision`, in ms; 0 if absent. */
    confirmedMsAgo: Schema.optionalKey(Milliseconds),
    confirmedAt: Schema.optionalKey(ClockMoment),
    /** Only receivers of the build before read these two; others know from their own view of an outage. */
    afterOutage: Schema.Boolean,
    graceMs: Schema.optionalKey(Milliseconds),
    changes: Schema.Array(Schema.Struct({ removed: Schema.Boolean, object: StoredObject })),
    /**
     * Names of all objects at `toRevision`, if the changes were derived from a list: it doesn't tell which objects came
     * and went since the one before.
     */
    present: Schema.optionalKey(Schema.Array(Schema.String)),
    contact: Schema.optionalKey(StoreContactReport),
  }),
  /** All objects of a kind, for a gateway that asked for what it lacks and has none yet. */
  Schema.TaggedStruct('storeView', {
    kind: WatchedKind,
    /** Store revision at which the objects are complete. */
    revision: Schema.Finite,
    /** Time since the store confirmed the view. */
    confirmedMsAgo: Milliseconds,
    confirmedAt: Schema.optionalKey(ClockMoment),
    objects: Schema.Array(StoredObject),
    contact: Schema.optionalKey(StoreContactReport),
  }),
  /** Says what a gateway that calls the store knows, and since when. */
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
    confirmedAt: Schema.optionalKey(ClockMoment),
    /** Revisions between which the sender doesn't know what came and went; it says nothing of views in between. */
    gaps: Schema.optionalKey(Schema.Struct({ configuration: RevisionGap, endpoints: RevisionGap })),
    contact: Schema.optionalKey(StoreContactReport),
  }),
] as const;
