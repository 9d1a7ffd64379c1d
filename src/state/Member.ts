import * as Schema from 'effect/Schema';

/** What peers believe of a member; `dead` and `left` are final for an incarnation. */
export const MemberStatus = Schema.Literals(['alive', 'suspect', 'dead', 'left']);
export type MemberStatus = typeof MemberStatus.Type;

/** One entry process as its peers see it. */
export const Member = Schema.Struct({
  /** A start number that never repeats; also the prefix of the request ids that it owns. */
  incarnation: Schema.NonEmptyString,
  /** `IP:PORT` for callers. */
  callerAddress: Schema.NonEmptyString,
  /** `IP:PORT` for peers; what stays the same over restarts of a process in place. */
  peerAddress: Schema.NonEmptyString,
  failureDomain: Schema.NonEmptyString,
  region: Schema.NonEmptyString,
  status: MemberStatus,
  /** Raised by the member itself to refute a suspicion. */
  revision: Schema.Int,
  /** Whether the member takes no new requests but still serves its old ones. */
  draining: Schema.Boolean,
  /** What its instance can do against others: cores that it may use; left out where all are alike. */
  strength: Schema.optionalKey(Schema.Finite),
});
export type Member = typeof Member.Type;
