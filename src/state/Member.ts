import * as Schema from 'effect/Schema';

/** Status of a member as its peers see it; `dead` and `left` are final for an incarnation. */
export const MemberStatus = Schema.Literals(['alive', 'suspect', 'dead', 'left']);
export type MemberStatus = typeof MemberStatus.Type;

/** An entry or gateway process as its peers see it. */
export const Member = Schema.Struct({
  /** Unique id of one run of the process; also the prefix of the request ids that it owns. */
  incarnation: Schema.NonEmptyString,
  /** `IP:PORT` for callers. */
  callerAddress: Schema.NonEmptyString,
  /** `IP:PORT` for peers; stays the same when a process restarts in place. */
  peerAddress: Schema.NonEmptyString,
  failureDomain: Schema.NonEmptyString,
  region: Schema.NonEmptyString,
  status: MemberStatus,
  /** Incremented only by the member itself, for example to refute a suspicion. */
  revision: Schema.Int,
  /** Whether the member rejects new requests while it completes the running ones. */
  draining: Schema.Boolean,
  /** Whether the member reaches no endpoint, so that others send its requests; absent if it isn't known. */
  isolated: Schema.optionalKey(Schema.Boolean),
  /** Whether the member takes datagrams; absent if not, or if it isn't known. */
  datagrams: Schema.optionalKey(Schema.Boolean),
  /** CPU cores that the process may use, to compare members; absent if all are alike. */
  strength: Schema.optionalKey(Schema.Finite),
});
export type Member = typeof Member.Type;
