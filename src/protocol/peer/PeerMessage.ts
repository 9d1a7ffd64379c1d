import * as Schema from 'effect/Schema';
import { Configuration } from '../../state/Configuration.ts';
import { Member } from '../../state/Member.ts';
import { MoveStatus } from '../../state/MoveStatus.ts';
import { NotRunReason, RequestStatus } from '../../state/RequestOutcome.ts';
import { Verdict } from '../../state/Verdict.ts';
import { GatewayMessages } from './GatewayMessages.ts';

/** Incremented when a message changes in a way that older processes can't decode. */
export const PEER_PROTOCOL_VERSION = 1;

const Milliseconds = Schema.Finite;
const MemberUpdates = Schema.Array(Member).check(Schema.isMaxLength(64));

/** Most records in an answer to a comparison of views. */
export const MAXIMUM_COMPARED_MEMBERS = 256;
/** Most members that a whole list or a comparison of views may hold. */
const MAXIMUM_MEMBERS = 16_384;

/** What probes and acknowledgements tell of the sender's view; absent in those of older builds. */
const SenderView = {
  /** Number of live members, and the sum of the hashes of their records. */
  view: Schema.optionalKey(Schema.Struct({ members: Schema.Int, hash: Schema.Finite })),
  /** Incarnation of the member that the sender takes for the leader, in groups that have one. */
  leader: Schema.optionalKey(Schema.NonEmptyString),
};

/** Hashes of member records, 6 bytes each. */
const RecordHashes = Schema.Uint8Array.check(
  Schema.makeFilter((bytes: Uint8Array) => bytes.length <= 6 * MAXIMUM_MEMBERS),
);

/** A request for a slot by the owning entry, with what the pool's scheduler needs to order and place it. */
export const Reservation = Schema.Struct({
  id: Schema.NonEmptyString,
  pool: Schema.NonEmptyString,
  /** Route within the pool, such as a service path or a prompt class, by which latencies and move evidence are grouped. */
  route: Schema.String,
  tierRank: Schema.Int,
  account: Schema.NonEmptyString,
  promptTokens: Schema.Finite,
  /** Expected length of the response in tokens. */
  outputTokens: Schema.Finite,
  /** Time left until the deadline when the message was sent; relative, so that clocks needn't agree. */
  remainingMs: Milliseconds,
  idempotent: Schema.Boolean,
  /** Whether the request can be suspended at the engine and resumed. */
  suspendable: Schema.Boolean,
  /** Hashes of the prompt's prefixes, shortest first, see `hashPromptPrefixes`. */
  prefixes: Schema.Array(Schema.String).check(Schema.isMaxLength(32)),
  /** Endpoints that refused the connection in an earlier attempt. */
  avoid: Schema.Array(Schema.String).check(Schema.isMaxLength(16)),
});
export type Reservation = typeof Reservation.Type;

/** Permission to dispatch one request to one endpoint. */
export const Grant = Schema.Struct({
  id: Schema.NonEmptyString,
  pool: Schema.NonEmptyString,
  endpoint: Schema.NonEmptyString,
  version: Schema.NonEmptyString,
  /** Estimated time until the response is complete. */
  estimateMs: Milliseconds,
});
export type Grant = typeof Grant.Type;

/** Result and timing of a dispatched request, sent when it releases its slot. */
export const CallRecord = Schema.Struct({
  result: Schema.Literals(['completed', 'failed', 'refused', 'cancelled']),
  /** Time from dispatch to the first token or byte. */
  firstTokenMs: Milliseconds,
  /** Time from dispatch to the end. */
  totalMs: Milliseconds,
  promptTokens: Schema.Finite,
  cachedTokens: Schema.Finite,
  outputTokens: Schema.Finite,
  /** Whether connecting to the endpoint failed, rather than the response. */
  connectFailure: Schema.Boolean,
});
export type CallRecord = typeof CallRecord.Type;

/** Every message between entries, and between gateways. */
export const PeerMessage = Schema.Union([
  // Membership messages. `updates` are changed member records that spread with the probes.
  Schema.TaggedStruct('probe', { sequence: Schema.Int, updates: MemberUpdates, ...SenderView }),
  Schema.TaggedStruct('probeAck', { sequence: Schema.Int, updates: MemberUpdates, ...SenderView }),
  Schema.TaggedStruct('probeRequest', {
    sequence: Schema.Int,
    target: Member,
    updates: MemberUpdates,
  }),
  Schema.TaggedStruct('membersRequest', {}),
  Schema.TaggedStruct('membersReply', {
    members: Schema.Array(Member).check(Schema.isMaxLength(MAXIMUM_MEMBERS)),
  }),
  /** Starts a comparison of views: the hashes of the sender's live records. */
  Schema.TaggedStruct('memberHashes', { hashes: RecordHashes }),
  /** Records that the receiver lacks, and hashes of those that it is asked to send. */
  Schema.TaggedStruct('memberRecords', {
    members: Schema.Array(Member).check(Schema.isMaxLength(MAXIMUM_COMPARED_MEMBERS)),
    wanted: RecordHashes,
  }),
  // Scheduling messages between the owning entry of a request and the pool's scheduler.
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
  /** The running requests of an owning entry in a pool, sent to a newly chosen scheduler. */
  Schema.TaggedStruct('inFlight', {
    pool: Schema.NonEmptyString,
    grants: Schema.Array(
      Schema.Struct({
        grant: Grant,
        reservation: Reservation,
        /** Whether the request is suspended and waits for `resume`. */
        suspended: Schema.optionalKey(Schema.Boolean),
      }),
    ),
  }),
  // Client-account limits: an owning entry borrows quota from the entry that manages the account.
  Schema.TaggedStruct('quotaRequest', {
    account: Schema.NonEmptyString,
    requests: Schema.Finite,
    tokens: Schema.Finite,
    concurrency: Schema.Int,
    /** Concurrency that the sender already holds, so that a new quota owner of the account can count it. */
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
  // Exchange of configuration, verdicts and move statuses.
  Schema.TaggedStruct('digest', {
    rollNumber: Schema.Int,
    /** Number of verdicts. */
    verdicts: Schema.Int,
    /** Text that changes whenever any move status changes. */
    statuses: Schema.String,
  }),
  /** Requests a `push`; `rollNumber` is that of the sender's configuration, 0 if it has none. */
  Schema.TaggedStruct('pull', { rollNumber: Schema.Int }),
  Schema.TaggedStruct('push', {
    configuration: Schema.optionalKey(Configuration),
    verdicts: Schema.Array(Verdict),
    statuses: Schema.Array(MoveStatus),
  }),
  /** Leaving instances in the platform's list as a relay sees it; replaces the relay's previous message. */
  Schema.TaggedStruct('instances', { leaving: Schema.Array(Schema.String) }),
  // Inquiry about the outcome of a request of another entry. `question` pairs a reply with its request.
  Schema.TaggedStruct('statusRequest', { question: Schema.Int, id: Schema.NonEmptyString }),
  /** `status` is absent if the sender doesn't know the request. */
  Schema.TaggedStruct('statusReply', {
    question: Schema.Int,
    id: Schema.NonEmptyString,
    status: Schema.optionalKey(RequestStatus),
  }),
  /**
   * Asks what a member's schedulers know of a request whose owning entry may be dead. Unless the reply is
   * `home_alive`, they grant no slot to this id afterwards.
   */
  Schema.TaggedStruct('voidRequest', { question: Schema.Int, id: Schema.NonEmptyString }),
  Schema.TaggedStruct('voidReply', {
    question: Schema.Int,
    id: Schema.NonEmptyString,
    /** `home_alive`: the member considers the owning entry possibly alive, so the id isn't voided. */
    finding: Schema.Literals(['waiting', 'granted', 'nothing', 'home_alive']),
  }),
  // Messages between gateways.
  ...GatewayMessages,
]);
export type PeerMessage = typeof PeerMessage.Type;

/** A message with its protocol version and its sender's incarnation. */
export const PeerEnvelope = Schema.Struct({
  version: Schema.Literal(PEER_PROTOCOL_VERSION),
  from: Schema.NonEmptyString,
  message: PeerMessage,
});
export type PeerEnvelope = typeof PeerEnvelope.Type;
