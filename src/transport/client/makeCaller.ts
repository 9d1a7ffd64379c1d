import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import { makeConnectionPool } from '../http/index.ts';
import { Caller } from './Caller.ts';
import type { CallerOptions } from './Caller.ts';

const CONNECT_TIMEOUT_MS = 1_000;
const CONNECTION_TRUST_MS = 4_000;

/**
 * Makes a caller. Its connections close with the scope.
 *
 * @param options - where to ask for entries, the account key, clock and randomness
 * @returns the caller
 */
export const makeCaller = (options: CallerOptions): Effect.Effect<Caller, never, Scope.Scope> =>
  makeConnectionPool({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    connectionTrustMs: CONNECTION_TRUST_MS,
    now: options.now,
  }).pipe(Effect.map((pool) => new Caller(pool, options)));
