import * as Schema from 'effect/Schema';

/** One row of the platform's lagging list of instances. */
export const Instance = Schema.Struct({
  name: Schema.NonEmptyString,
  role: Schema.Literals(['entry', 'endpoint']),
  /** `IP:PORT`; for an entry the address for peers. */
  address: Schema.NonEmptyString,
  state: Schema.Literals(['live', 'leaving']),
});
export type Instance = typeof Instance.Type;
