import type { VersionFault } from '../../test/fakes/engine/index.ts';
import type { WrittenBundle } from './Fleet.ts';
import type { LoadClass } from './makeLoad.ts';

const DOMAINS = ['fd-a', 'fd-b', 'fd-c'];
const REQUESTS_PER_SECOND = 20;
const FAULTY_ROUTE = 'summaries';

/** Version that pools begin with. */
export const OLD = 'v1';
/** Version that they move to. */
export const NEW = 'v2';

/** Kinds of new version and what each does wrong; undefined is a good one. */
export const KINDS: Readonly<Record<string, VersionFault | undefined>> = {
  good: undefined,
  'fails at once': { kind: 'fail' },
  'fails later': { kind: 'fail_after', after: 8 },
  'slow at once': { kind: 'slow', factor: 6 },
  'slow under load': { kind: 'slow_under_load', factor: 6 },
  'bad on one route': { kind: 'fail', route: FAULTY_ROUTE },
  'fails in one domain': { kind: 'fail', failureDomain: 'fd-b' },
  'crashes on load': { kind: 'crash_on_load' },
  'cut answers': { kind: 'cut' },
};

/** A pool whose move is watched. */
export interface MovedPool {
  readonly name: string;
  readonly kind: string;
}

/** Names the pools of a run, the same number of each kind. */
export const movedPools = (each: number): readonly MovedPool[] =>
  Object.keys(KINDS).flatMap((kind, index) =>
    Array.from({ length: each }, (_, copy) => ({ name: `pool-${index}-${copy}`, kind })),
  );

const endpointsOf = ({ name, kind }: MovedPool, poolIndex: number): readonly object[] =>
  DOMAINS.flatMap((failureDomain, domainIndex) =>
    [OLD, NEW].map((version) => ({
      name: `${name}-${failureDomain}-${version}`,
      pool: name,
      version,
      address: `http://127.0.2.${poolIndex + 1}:${9000 + domainIndex}`,
      failureDomain,
      slots: 4,
      prefillTokensPerSecond: 20_000,
      decodeTokensPerSecond: 400,
      checksFencing: poolIndex % 2 === 0,
      loadByOrder: version === NEW && kind === 'crashes on load',
    })),
  );

/**
 * Replaces a bundle's pools and endpoints by pools with two versions each.
 *
 * @param pools - the pools wanted
 * @returns a change of a bundle
 */
export const withMovedPools =
  (pools: readonly MovedPool[]) =>
  (bundle: WrittenBundle): WrittenBundle => ({
    ...bundle,
    pools: pools.map(({ name }) => ({
      name,
      kind: { _tag: 'model', model: name },
      version: OLD,
    })),
    endpoints: pools.flatMap(endpointsOf),
    moves: [],
  });

/** One move for each pool, all due at the same time. */
export const movesOf = (pools: readonly MovedPool[], completeBy: Date): readonly object[] =>
  pools.map(({ name }) => ({
    name: `move-${name}`,
    pool: name,
    from: OLD,
    to: NEW,
    completeBy: completeBy.toISOString(),
    stages: [
      { share: 0.05, holdMs: 500, minimumSamples: 5 },
      { share: 0.3, holdMs: 500, minimumSamples: 10 },
      { share: 1, holdMs: 500, minimumSamples: 15 },
    ],
  }));

/** Load on every pool, half of it on the route that some versions are bad on. */
export const loadOf = (pools: readonly MovedPool[], account: string): readonly LoadClass[] =>
  pools.flatMap(({ name }) =>
    [FAULTY_ROUTE, 'questions'].map((route): LoadClass => ({
      account,
      tier: 0,
      pool: name,
      model: name,
      ratePerSecond: REQUESTS_PER_SECOND / 2,
      promptTokens: [20, 400],
      outputTokens: [4, 40],
      deadlineMs: 8_000,
      streamed: false,
      route,
    })),
  );
