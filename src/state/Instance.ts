import * as Schema from 'effect/Schema';

/** An instance in the platform's list, which may be stale. */
export const Instance = Schema.Struct({
  name: Schema.NonEmptyString,
  role: Schema.Literals(['entry', 'endpoint']),
  /** `IP:PORT`; for an entry, its peer address. */
  address: Schema.NonEmptyString,
  state: Schema.Literals(['live', 'leaving']),
});
export type Instance = typeof Instance.Type;
