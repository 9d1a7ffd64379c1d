import type { Bundle } from '../../src/state/Bundle.ts';
import type { Move } from '../../src/state/Move.ts';

/** Unix time at which tests of moves start. */
export const START = Date.parse('2030-01-01T00:00:00Z');

/** Makes a move of pool `summaries` from v1 to v2, due a minute after the start. */
export const makeMove = (changes: Partial<Move> = {}): Move => ({
  name: 'summaries-v2',
  pool: 'summaries',
  from: 'v1',
  to: 'v2',
  completeBy: new Date(START + 60_000).toISOString(),
  stages: [
    { share: 0.1, holdMs: 1_000, minimumSamples: 20 },
    { share: 1, holdMs: 1_000, minimumSamples: 20 },
  ],
  maximumUnproven: 4,
  ...changes,
});

const endpoint = (version: string, port: number) => ({
  name: `summaries-${version}`,
  pool: 'summaries',
  version,
  address: `http://127.0.0.1:${port}`,
  failureDomain: 'a',
  slots: 8,
  prefillTokensPerSecond: 2_000,
  decodeTokensPerSecond: 40,
  checksFencing: true,
  loadByOrder: true,
});

/** Makes a bundle of one pool with an endpoint for each of two versions. */
export const makeBundle = (version: number, moves: readonly Move[] = []): Bundle => ({
  name: 'snow',
  version,
  tiers: [{ name: 'urgent', rank: 0, defaultDeadlineMs: 30_000 }],
  accounts: [
    {
      name: 'resorts',
      tier: 'urgent',
      keyDigest: `sha256:${'0'.repeat(64)}`,
      requestsPerSecond: 10,
      tokensPerSecond: 1_000,
      concurrency: 8,
    },
  ],
  pools: [{ name: 'summaries', kind: { _tag: 'model', model: 'summary' }, version: 'v1' }],
  endpoints: [endpoint('v1', 1), endpoint('v2', 2)],
  moves,
});
