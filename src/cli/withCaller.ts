import { randomInt } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import * as Effect from 'effect/Effect';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { addressesOf } from './entryFlags.ts';
import { makeCaller } from '../transport/client/index.ts';
import type { Caller } from '../transport/client/index.ts';

const MAXIMUM_SEED = 2 ** 31;

/** Where entries are, and who calls. */
export interface CallerPlace {
  readonly entry: readonly string[];
  readonly key?: string;
  readonly attempts?: number;
}

/**
 * Runs one use of the caller interface and closes its connections.
 *
 * @param place - entries to ask first, and the account key
 * @param use - what to do
 * @returns what the use gave
 */
export const withCaller = <A>(
  { entry, key, attempts }: CallerPlace,
  use: (caller: Caller) => Effect.Effect<A>,
): Promise<A> => {
  const options = {
    seeds: addressesOf(entry),
    key: key ?? '',
    maximumAttempts: attempts,
    now: () => performance.now(),
    generator: xoroshiro128plus(randomInt(MAXIMUM_SEED)),
  };
  return Effect.runPromise(Effect.scoped(Effect.flatMap(makeCaller(options), use)));
};
