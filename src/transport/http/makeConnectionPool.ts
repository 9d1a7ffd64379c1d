import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import { ConnectionPool } from './ConnectionPool.ts';
import type { ConnectionPoolOptions } from './ConnectionPool.ts';

const SWEEP_INTERVAL_MS = 1_000;

/**
 * Makes a connection pool that closes its connections with the scope.
 *
 * @param options - what bounds the pool
 * @returns the pool
 */
export const makeConnectionPool = (
  options: ConnectionPoolOptions,
): Effect.Effect<ConnectionPool, never, Scope.Scope> =>
  Effect.acquireRelease(
    Effect.sync(() => {
      const pool = new ConnectionPool(options);
      const timer = setInterval(() => pool.sweep(), SWEEP_INTERVAL_MS);
      timer.unref();
      return { pool, timer };
    }),
    ({ pool, timer }) =>
      Effect.sync(() => {
        clearInterval(timer);
        pool.close();
      }),
  ).pipe(Effect.map(({ pool }) => pool));
