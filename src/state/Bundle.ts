import * as Schema from 'effect/Schema';
import { ClientAccount } from './ClientAccount.ts';
import { Endpoint } from './Endpoint.ts';
import { Move } from './Move.ts';
import { Pool } from './Pool.ts';
import { Tier } from './Tier.ts';

/** A versioned description of client accounts, tiers, pools, endpoints and moves. */
export const Bundle = Schema.Struct({
  name: Schema.NonEmptyString,
  /** Increases with each rolled bundle; a bundle with a lower version is never applied. */
  version: Schema.Int.check(Schema.isGreaterThan(0)),
  tiers: Schema.NonEmptyArray(Tier),
  accounts: Schema.Array(ClientAccount),
  pools: Schema.Array(Pool),
  endpoints: Schema.Array(Endpoint),
  moves: Schema.Array(Move),
});
export type Bundle = typeof Bundle.Type;
