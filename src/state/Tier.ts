import * as Schema from 'effect/Schema';

/** A priority class of requests. Rank 0 is served first and shed last. */
export const Tier = Schema.Struct({
  name: Schema.NonEmptyString,
  rank: Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 15 })),
  /** Deadline of a request whose caller sets none, in ms from its arrival. */
  defaultDeadlineMs: Schema.Int.check(Schema.isBetween({ minimum: 10, maximum: 3_600_000 })),
});
export type Tier = typeof Tier.Type;
