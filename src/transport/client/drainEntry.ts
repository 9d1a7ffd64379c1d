import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import { makeConnectionPool, requestWhole } from '../http/index.ts';
import type { WholeOutcome } from '../http/index.ts';

const TIMEOUT_MS = 3_000;
const MAXIMUM_BYTES = 64 * 1024;
const HTTP_ACCEPTED = 202;
const HTTP_UNAUTHORIZED = 401;

/** What an entry made of the wish to drain it. */
export interface DrainResult {
  readonly address: string;
  readonly draining: boolean;
  /** In words. */
  readonly detail: string;
}

const describe = (outcome: WholeOutcome): string => {
  if (outcome._tag === 'refused') return `not reached: ${outcome.detail}`;
  if (outcome._tag === 'lost') return `no answer: ${outcome.detail}; it may be draining`;
  if (outcome.status === HTTP_ACCEPTED) return 'draining';
  return outcome.status === HTTP_UNAUTHORIZED
    ? 'refused: the secret is wrong'
    : `refused: status ${outcome.status}`;
};

/**
 * Tells an entry to drain. Doing so twice does no harm.
 *
 * @param address - the entry's `IP:PORT` for callers
 * @param secret - the shared secret of the entries
 * @param now - present time in ms, monotonic
 * @returns what the entry made of it
 */
export const drainEntry = (
  address: string,
  secret: string,
  now: () => number,
): Effect.Effect<DrainResult, never, Scope.Scope> =>
  makeConnectionPool({ connectTimeoutMs: TIMEOUT_MS, connectionTrustMs: TIMEOUT_MS, now }).pipe(
    Effect.flatMap((pool) =>
      Effect.callback<WholeOutcome>((resume) => {
        const call = requestWhole(
          pool,
          {
            address: `http://${address}`,
            method: 'POST',
            path: '/v1/drain',
            headers: { authorization: `Bearer ${secret}` },
            fresh: true,
            timeoutMs: TIMEOUT_MS,
            maximumBytes: MAXIMUM_BYTES,
          },
          (outcome) => resume(Effect.succeed(outcome)),
        );
        return Effect.sync(call.abort);
      }),
    ),
    Effect.map((outcome) => ({
      address,
      draining: outcome._tag === 'answered' && outcome.status === HTTP_ACCEPTED,
      detail: describe(outcome),
    })),
  );
