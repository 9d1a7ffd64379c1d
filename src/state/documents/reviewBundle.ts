import type { Bundle } from '../Bundle.ts';
import type { Move } from '../Move.ts';
import { moveKey } from '../moveKey.ts';
import type { ValueProblem } from './Problem.ts';

/** Time that loading a version and writing its final status take at least. */
const MINIMUM_OVERHEAD_MS = 1_000;

const listOptions = (names: readonly string[]): string =>
  names.length === 0 ? 'none is declared' : `one of ${names.map((name) => `"${name}"`).join(', ')}`;

const findDuplicates = (
  kind: string,
  field: string,
  values: readonly string[],
): readonly ValueProblem[] =>
  values.flatMap((value, index) =>
    values.indexOf(value) === index
      ? []
      : [
          {
            path: [kind, index, field],
            message: `"${value}" stands more than once in ${kind}`,
            suggestion: 'give each its own',
          },
        ],
  );

const duplicates = (bundle: Bundle): readonly ValueProblem[] => [
  ...findDuplicates(
    'tiers',
    'name',
    bundle.tiers.map(({ name }) => name),
  ),
  ...findDuplicates(
    'tiers',
    'rank',
    bundle.tiers.map(({ rank }) => String(rank)),
  ),
  ...findDuplicates(
    'accounts',
    'name',
    bundle.accounts.map(({ name }) => name),
  ),
  ...findDuplicates(
    'accounts',
    'keyDigest',
    bundle.accounts.map(({ keyDigest }) => keyDigest),
  ),
  ...findDuplicates(
    'pools',
    'name',
    bundle.pools.map(({ name }) => name),
  ),
  ...findDuplicates(
    'endpoints',
    'name',
    bundle.endpoints.map(({ name }) => name),
  ),
  ...findDuplicates(
    'moves',
    'name',
    bundle.moves.map(({ name }) => name),
  ),
];

const reviewAccounts = ({ accounts, tiers }: Bundle): readonly ValueProblem[] => {
  const names = tiers.map(({ name }) => name);
  return accounts.flatMap(({ name, tier }, index) =>
    names.includes(tier)
      ? []
      : [
          {
            path: ['accounts', index, 'tier'],
            message: `account "${name}" is in tier "${tier}", which isn't declared`,
            suggestion: listOptions(names),
          },
        ],
  );
};

const reviewTiers = ({ accounts, tiers }: Bundle): readonly ValueProblem[] =>
  tiers.flatMap(({ name }, index) =>
    accounts.some(({ tier }) => tier === name)
      ? []
      : [
          {
            path: ['tiers', index],
            message: `no account is in tier "${name}", so nothing is served in it`,
            suggestion: 'put an account into it or remove it',
          },
        ],
  );

const versionsOf = ({ endpoints }: Bundle, pool: string): readonly string[] => [
  ...new Set(endpoints.filter((endpoint) => endpoint.pool === pool).map(({ version }) => version)),
];

const reviewPools = (bundle: Bundle): readonly ValueProblem[] => {
  const targets = bundle.pools.map(({ kind }) =>
    kind._tag === 'model' ? `model ${kind.model}` : `path prefix ${kind.pathPrefix}`,
  );
  return bundle.pools.flatMap((pool, index) => {
    const findings: ValueProblem[] = [];
    const versions = versionsOf(bundle, pool.name);
    if (!versions.includes(pool.version)) {
      findings.push({
        path: ['pools', index, 'version'],
        message: `pool "${pool.name}" has no endpoint of version "${pool.version}"`,
        suggestion: listOptions(versions),
      });
    }
    const target = targets[index];
    const first = targets.findIndex((other) => other === target);
    if (first !== index) {
      findings.push({
        path: ['pools', index, 'kind'],
        message: `pools "${bundle.pools[first]?.name}" and "${pool.name}" both serve ${target}`,
        suggestion: 'give each pool its own model or path prefix',
      });
    }
    return findings;
  });
};

const reviewEndpoints = ({ endpoints, pools }: Bundle): readonly ValueProblem[] => {
  const names = pools.map(({ name }) => name);
  return endpoints.flatMap((endpoint, index) => {
    const findings: ValueProblem[] = [];
    const pool = pools.find(({ name }) => name === endpoint.pool);
    if (pool === undefined) {
      findings.push({
        path: ['endpoints', index, 'pool'],
        message: `endpoint "${endpoint.name}" is in pool "${endpoint.pool}", which isn't declared`,
        suggestion: listOptions(names),
      });
    }
    if (pool?.kind._tag === 'service' && endpoint.loadByOrder) {
      findings.push({
        path: ['endpoints', index, 'loadByOrder'],
        message: `endpoint "${endpoint.name}" is a plain service, which takes no orders`,
        suggestion: 'for example false',
      });
    }
    return findings;
  });
};

/**
 * Gives the least time that a move needs from its start to its end.
 *
 * @param move - a move
 * @returns ms, the hold times of all stages and a little for loading and status
 */
export const leastDurationMs = (move: Move): number =>
  move.stages.reduce((sum, { holdMs }) => sum + holdMs, MINIMUM_OVERHEAD_MS);

const reviewStages = (move: Move, index: number): readonly ValueProblem[] => {
  const shares = move.stages.map(({ share }) => share);
  const findings: ValueProblem[] = [];
  if (shares.at(-1) !== 1) {
    findings.push({
      path: ['moves', index, 'stages'],
      message: `the last stage of move "${move.name}" must have share 1`,
      suggestion: 'for example [{ "share": 0.1, … }, { "share": 1, … }]',
    });
  }
  const falling = shares.findIndex((share, at) => at > 0 && share <= (shares[at - 1] ?? 0));
  if (falling > 0) {
    findings.push({
      path: ['moves', index, 'stages', falling, 'share'],
      message: `must be above the share of the stage before it, ${shares[falling - 1]}`,
      suggestion: 'raise it or remove the stage',
    });
  }
  return findings;
};

const reviewDeadline = (move: Move, index: number, wallNow: number): readonly ValueProblem[] => {
  const path = ['moves', index, 'completeBy'];
  const deadline = Date.parse(move.completeBy);
  if (Number.isNaN(deadline)) {
    return [{ path, message: 'no such date', suggestion: 'for example "2030-01-31T06:00:00Z"' }];
  }
  const least = leastDurationMs(move);
  const left = deadline - wallNow;
  if (left >= least) return [];
  const earliest = new Date(wallNow + 2 * least).toISOString();
  return [
    {
      path,
      message:
        left <= 0
          ? `deadline of move "${move.name}" has passed`
          : `leaves ${left} ms, but the stages of move "${move.name}" take at least ${least} ms`,
      suggestion: `for example "${earliest}"`,
    },
  ];
};

const reviewVersions = (bundle: Bundle, move: Move, index: number): readonly ValueProblem[] => {
  const pool = bundle.pools.find(({ name }) => name === move.pool);
  if (pool === undefined) {
    return [
      {
        path: ['moves', index, 'pool'],
        message: `move "${move.name}" is of pool "${move.pool}", which isn't declared`,
        suggestion: listOptions(bundle.pools.map(({ name }) => name)),
      },
    ];
  }
  const findings: ValueProblem[] = [];
  const versions = versionsOf(bundle, move.pool);
  if (!versions.includes(move.to)) {
    findings.push({
      path: ['moves', index, 'to'],
      message: `pool "${move.pool}" has no endpoint of version "${move.to}"`,
      suggestion: listOptions(versions.filter((version) => version !== move.from)),
    });
  }
  if (move.from !== pool.version) {
    findings.push({
      path: ['moves', index, 'from'],
      message: `pool "${move.pool}" serves version "${pool.version}", not "${move.from}"`,
      suggestion: `for example "${pool.version}"`,
    });
  }
  if (move.from === move.to) {
    findings.push({
      path: ['moves', index, 'to'],
      message: 'is the version that the move starts from',
      suggestion: listOptions(versions.filter((version) => version !== move.from)),
    });
  }
  return findings;
};

const reviewOverlap = ({ moves }: Bundle): readonly ValueProblem[] =>
  moves.flatMap((move, index) => {
    const first = moves.findIndex(({ pool }) => pool === move.pool);
    if (first === index) return [];
    return [
      {
        path: ['moves', index, 'pool'],
        message: `moves "${moves[first]?.name}" and "${move.name}" of one pool would overlap`,
        suggestion: 'roll the second in a later bundle',
      },
    ];
  });

/**
 * Finds what can't work in a bundle that fits its schema.
 *
 * @param bundle - the bundle with defaults filled in
 * @param wallNow - present Unix time in ms
 * @param underWay - keys of moves that are in force already, whose deadlines aren't reviewed
 * @returns all findings, none where the bundle can be rolled
 */
export const reviewBundle = (
  bundle: Bundle,
  wallNow: number,
  underWay: ReadonlySet<string>,
): readonly ValueProblem[] => [
  ...duplicates(bundle),
  ...reviewTiers(bundle),
  ...reviewAccounts(bundle),
  ...reviewPools(bundle),
  ...reviewEndpoints(bundle),
  ...bundle.moves.flatMap((move, index) => [
    ...reviewVersions(bundle, move, index),
    ...reviewStages(move, index),
    ...(underWay.has(moveKey(move)) ? [] : reviewDeadline(move, index, wallNow)),
  ]),
  ...reviewOverlap(bundle),
];
