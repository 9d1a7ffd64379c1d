import type { WrittenBundle } from './Fleet.ts';

const NO_LIMIT = 1_000_000;

type Named = Record<string, unknown>;

const listOf = (bundle: WrittenBundle, field: string): readonly Named[] =>
  bundle[field] as readonly Named[];

/**
 * Lifts the accounts' limits, where they aren't what is measured.
 *
 * @param bundle - a bundle as written
 * @returns the same with limits that no load reaches
 */
export const unlimited = (bundle: WrittenBundle): WrittenBundle => ({
  ...bundle,
  accounts: listOf(bundle, 'accounts').map((account) => ({
    ...account,
    requestsPerSecond: NO_LIMIT,
    tokensPerSecond: NO_LIMIT * NO_LIMIT,
    concurrency: NO_LIMIT,
  })),
});

/**
 * Makes all engines faster alike, so that a run with deadlines shortened alike takes less time.
 *
 * @param factor - how many times faster
 * @returns a change of a bundle
 */
export const faster =
  (factor: number) =>
  (bundle: WrittenBundle): WrittenBundle => ({
    ...bundle,
    endpoints: listOf(bundle, 'endpoints').map((endpoint) => ({
      ...endpoint,
      ...(typeof endpoint.decodeTokensPerSecond === 'number' && {
        decodeTokensPerSecond: endpoint.decodeTokensPerSecond * factor,
        prefillTokensPerSecond: Number(endpoint.prefillTokensPerSecond) * factor,
      }),
    })),
  });
