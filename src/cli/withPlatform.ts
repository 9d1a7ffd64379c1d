import * as Effect from 'effect/Effect';
import type { PlatformApi } from '../protocol/platform/PlatformApi.ts';
import { makePlatformClient } from '../transport/platform/index.ts';

const TIMEOUT_MS = 3_000;

/** Where the object service is. */
export interface PlatformPlace {
  readonly platform: string;
  readonly namespace: string;
}

/**
 * Runs one use of the object service and closes its connections. A bearer token comes from the
 * environment, so that it doesn't show in the list of processes.
 *
 * @param place - address and namespace
 * @param use - what to do
 * @returns what the use gave
 */
export const withPlatform = <A>(
  { platform, namespace }: PlatformPlace,
  use: (client: PlatformApi) => Effect.Effect<A>,
): Promise<A> => {
  const token = process.env.CORIANDERWICK_PLATFORM_TOKEN;
  const settings = { address: platform, namespace, token, timeoutMs: TIMEOUT_MS };
  return Effect.runPromise(Effect.scoped(Effect.flatMap(makePlatformClient(settings), use)));
};
