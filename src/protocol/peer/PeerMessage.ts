import * as Schema from 'effect/Schema';
import { Configuration } from '../../state/Configuration.ts';
import { Member } from '../../state/Member.ts';
import { MoveStatus } from '../../state/MoveStatus.ts';
import { NotRunReason, RequestStatus } from '../../state/RequestOutcome.ts';
import { Verdict } from '../../state/Verdict.ts';
import { PlacementMessages } from './Placement.ts';

/** Raised when a message changes in a way that an older process can't read. */
export const PEER_PROTOCOL_VERSION = 1;

const Milliseconds = Schema.Finite;
const Members = Schema.Array(Member).check(Schema.isMaxLength(64));

/** A home's wish for a slot, with what the pool's scheduler needs to order and place it. */
export const Reservation = Schema.Struct({
  id: Schema.NonEmptyString,
  pool: Schema.NonEmptyString,
  /** Caller's route within the pool, such as a service path or a prompt class; groups evidence. */
  route: Schema.String,
  tierRank: Schema.Int,
  account: Schema.NonEmptyString,
  promptTokens: Schema.Finite,
  outputTokens: Schema.Finite,
  /** Time left when it was sent, so that no two clocks are compared. */
  remainingMs: Milliseconds,
  idempotent: Schema.Boolean,
  /** Whether it can be suspended at the engine and taken up again. */
  suspendable: Schema.Boolean,
  /** Hashes of the prompt's growing prefixes, shortest first. */
  prefixes: Schema.Array(Schema.String).check(Schema.isMaxLength(32)),
  /** Endpoints that already refused it a connection. */
  avoid: Schema.Array(Schema.String).check(Schema.isMaxLength(16)),
});
export type Reservation = typeof Reservation.Type;

/** Leave to dispatch one request to one endpoint. */
export const Grant = Schema.Struct({
  id: Schema.NonEmptyString,
  pool: Schema.NonEmptyString,
  endpoint: Schema.NonEmptyString,
  version: Schema.NonEmptyString,
  /** Expected time to the end of the answer. */
  estimateMs: Milliseconds,
});
export type Grant = typeof Grant.Type;

/** What a dispatched request showed of its endpoint; sent when its slot is free again. */
export const CallRecord = Schema.Struct({
  result: Schema.Literals(['completed', 'failed', 'refused', 'cancelled']),
  /** From dispatch to the first token or byte. */
  firstTokenMs: Milliseconds,
  totalMs: Milliseconds,
  promptTokens: Schema.Finite,
  cachedTokens: Schema.Finite,
  outputTokens: Schema.Finite,
  /** Whether the failure lay in reaching the endpoint rather than in its answer. */
  connectFailure: Schema.Boolean,
});
export type CallRecord = typeof CallRecord.Type;

/** Everything that one entry says to another. */
export const PeerMessage = Schema.Union([
  // Membership
  Schema.TaggedStruct('probe', { sequence: Schema.Int, updates: Members }),
  Schema.TaggedStruct('probeAck', { sequence: Schema.Int, updates: Members }),
  Schema.TaggedStruct('probeRequest', {
    sequence: Schema.Int,
    target: Member,
    updates: Members,
  }),
  Schema.TaggedStruct('membersRequest', {}),
  Schema.TaggedStruct('membersReply', { members: Schema.Array(Member) }),
  // Scheduling
  Schema.TaggedStruct('reserve', { reservations: Schema.Array(Reservation) }),
  Schema.TaggedStruct('granted', { grants: Schema.Array(Grant) }),
  Schema.TaggedStruct('refused', {
    id: Schema.NonEmptyString,
    reason: NotRunReason,
    retryAfterMs: Milliseconds,
  }),
  Schema.TaggedStruct('withdraw', { ids: Schema.Array(Schema.NonEmptyString) }),
  Schema.TaggedStruct('release', {
    id: Schema.NonEmptyString,
    pool: Schema.NonEmptyString,
    endpoint: Schema.NonEmptyString,
    version: Schema.NonEmptyString,
    route: Schema.String,
    record: CallRecord,
  }),
  Schema.TaggedStruct('suspend', { id: Schema.NonEmptyString }),
  Schema.TaggedStruct('suspended', { id: Schema.NonEmptyString, pool: Schema.NonEmptyString }),
  Schema.TaggedStruct('resume', { id: Schema.NonEmptyString }),
  /** What a home has running in a pool, told to a scheduler that is new to it. */
  Schema.TaggedStruct('inFlight', {
    pool: Schema.NonEmptyString,
    grants: Schema.Array(
      Schema.Struct({
        grant: Grant,
        reservation: Reservation,
        /** Whether it is suspended and waits for `resume`. */
        suspended: Schema.optionalKey(Schema.Boolean),
      }),
    ),
  }),
  // Client-account limits
  Schema.TaggedStruct('quotaRequest', {
    account: Schema.NonEmptyString,
    requests: Schema.Finite,
    tokens: Schema.Finite,
    concurrency: Schema.Int,
    /** Concurrency that the home holds already, so that an owner new to the account learns of it. */
    held: Schema.Int,
  }),
  Schema.TaggedStruct('quotaReply', {
    account: Schema.NonEmptyString,
    requests: Schema.Finite,
    tokens: Schema.Finite,
    concurrency: Schema.Int,
    retryAfterMs: Milliseconds,
  }),
  Schema.TaggedStruct('quotaReturn', {
    account: Schema.NonEmptyString,
    requests: Schema.Finite,
    tokens: Schema.Finite,
    concurrency: Schema.Int,
  }),
  // Configuration, verdicts and move statuses
  Schema.TaggedStruct('digest', {
    rollNumber: Schema.Int,
    verdicts: Schema.Int,
    /** Changes whenever any move status does. */
    statuses: Schema.String,
  }),
  Schema.TaggedStruct('pull', { rollNumber: Schema.Int }),
  Schema.TaggedStruct('push', {
    configuration: Schema.optionalKey(Configuration),
    verdicts: Schema.Array(Verdict),
    statuses: Schema.Array(MoveStatus),
  }),
  /** What a relay sees of the platform's instance list; the last one of each relay counts. */
  Schema.TaggedStruct('instances', { leaving: Schema.Array(Schema.String) }),
  // What became of a request
  Schema.TaggedStruct('statusRequest', { question: Schema.Int, id: Schema.NonEmptyString }),
  Schema.TaggedStruct('statusReply', {
    question: Schema.Int,
    id: Schema.NonEmptyString,
    status: Schema.optionalKey(RequestStatus),
  }),
  Schema.TaggedStruct('voidRequest', { question: Schema.Int, id: Schema.NonEmptyString }),
  Schema.TaggedStruct('voidReply', {
    question: Schema.Int,
    id: Schema.NonEmptyString,
    finding: Schema.Literals(['waiting', 'granted', 'nothing', 'home_alive']),
  }),
  // Between gateways
  ...PlacementMessages,
]);
export type PeerMessage = typeof PeerMessage.Type;

/** A message with its protocol version and its sender's incarnation. */
export const PeerEnvelope = Schema.Struct({
  version: Schema.Literal(PEER_PROTOCOL_VERSION),
  from: Schema.NonEmptyString,
  message: PeerMessage,
});
export type PeerEnvelope = typeof PeerEnvelope.Type;
