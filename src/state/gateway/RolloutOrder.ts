import * as Schema from 'effect/Schema';

/** State of a roll-out in the store; `completed` and `rolledBack` are final. */
export const RolloutState = Schema.Literals(['running', 'completed', 'rolledBack']);
export type RolloutState = typeof RolloutState.Type;

/** An operator's order to move a service's requests to endpoints of another version. */
export const RolloutOrder = Schema.Struct({
  service: Schema.NonEmptyString,
  /** Version that is to serve the requests. */
  target: Schema.NonEmptyString,
  /** Time from the order to its deadline. */
  durationMs: Schema.Finite,
  /** Store revision of the object, which a conditional write names. */
  revision: Schema.Finite,
  /** What a driver wrote; absent before the first write. */
  status: Schema.optionalKey(Schema.Struct({ state: RolloutState, target: Schema.String })),
});
export type RolloutOrder = typeof RolloutOrder.Type;
