import * as Schema from 'effect/Schema';

/** A class of requests. Rank 0 is served first and shed last. */
export const Tier = Schema.Struct({
  name: Schema.NonEmptyString,
  rank: Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 15 })),
  /** Time a request of the tier may take as a whole when its caller names no deadline. */
  defaultDeadlineMs: Schema.Int.check(Schema.isBetween({ minimum: 10, maximum: 3_600_000 })),
});
export type Tier = typeof Tier.Type;
