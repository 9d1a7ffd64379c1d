import type { Bundle } from '../Bundle.ts';
import type { Move } from '../Move.ts';
import { moveKey } from '../moveKey.ts';
import type { ValueProblem } from './DocumentProblem.ts';

/** Minimum time to load a version and write the move's final status. */
const MINIMUM_MOVE_OVERHEAD_MS = 1_000;

const listOptions = (names: readonly string[]): string =>
  names.length === 0 ? 'none is declared' : `one of ${names.map((name) => `"${name}"`).join(', ')}`;

const findDuplicatesIn = (
  listName: string,
  field: string,
  values: readonly string[],
): readonly ValueProblem[] =>
  values.flatMap((value, index) =>
    values.indexOf(value) === index
      ? []
      : [
          {
            path: [listName, index, field],
            message: `"${value}" occurs more than once in ${listName}`,
            suggestion: 'use a unique value for each',
          },
        ],
  );

const findDuplicates = (bundle: Bundle): readonly ValueProblem[] => [
  ...findDuplicatesIn(
    'tiers',
    'name',
    bundle.tiers.map(({ name }) => name),
  ),
  ...findDuplicatesIn(
    'tiers',
    'rank',
    bundle.tiers.map(({ rank }) => String(rank)),
  ),
  ...findDuplicatesIn(
    'accounts',
    'name',
    bundle.accounts.map(({ name }) => name),
  ),
  ...findDuplicatesIn(
    'accounts',
    'keyDigest',
    bundle.accounts.map(({ keyDigest }) => keyDigest),
  ),
  ...findDuplicatesIn(
    'pools',
    'name',
    bundle.pools.map(({ name }) => name),
  ),
  ...findDuplicatesIn(
    'endpoints',
    'name',
    bundle.endpoints.map(({ name }) => name),
  ),
  ...findDuplicatesIn(
    'moves',
    'name',
    bundle.moves.map(({ name }) => name),
  ),
];

const validateAccounts = ({ accounts, tiers }: Bundle): readonly ValueProblem[] => {
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

const validateTiers = ({ accounts, tiers }: Bundle): readonly ValueProblem[] =>
  tiers.flatMap(({ name }, index) =>
    accounts.some(({ tier }) => tier === name)
      ? []
      : [
          {
            path: ['tiers', index],
            message: `no account is in tier "${name}", so the tier is unused`,
            suggestion: 'assign an account to the tier or remove the tier',
          },
        ],
  );

const versionsOf = ({ endpoints }: Bundle, pool: string): readonly string[] => [
  ...new Set(endpoints.filter((endpoint) => endpoint.pool === pool).map(({ version }) => version)),
];

const validatePools = (bundle: Bundle): readonly ValueProblem[] => {
  const targets = bundle.pools.map(({ kind }) =>
    kind._tag === 'model' ? `model ${kind.model}` : `path prefix ${kind.pathPrefix}`,
  );
  return bundle.pools.flatMap((pool, index) => {
    const problems: ValueProblem[] = [];
    const versions = versionsOf(bundle, pool.name);
    if (!versions.includes(pool.version)) {
      problems.push({
        path: ['pools', index, 'version'],
        message: `pool "${pool.name}" has no endpoint of version "${pool.version}"`,
        suggestion: listOptions(versions),
      });
    }
    const target = targets[index];
    const first = targets.findIndex((other) => other === target);
    if (first !== index) {
      problems.push({
        path: ['pools', index, 'kind'],
        message: `pools "${bundle.pools[first]?.name}" and "${pool.name}" both serve ${target}`,
        suggestion: 'give each pool its own model or path prefix',
      });
    }
    return problems;
  });
};

const validateEndpoints = ({ endpoints, pools }: Bundle): readonly ValueProblem[] => {
  const names = pools.map(({ name }) => name);
  return endpoints.flatMap((endpoint, index) => {
    const problems: ValueProblem[] = [];
    const pool = pools.find(({ name }) => name === endpoint.pool);
    if (pool === undefined) {
      problems.push({
        path: ['endpoints', index, 'pool'],
        message: `endpoint "${endpoint.name}" is in pool "${endpoint.pool}", which isn't declared`,
        suggestion: listOptions(names),
      });
    }
    if (pool?.kind._tag === 'service' && endpoint.loadByOrder) {
      problems.push({
        path: ['endpoints', index, 'loadByOrder'],
        message: `endpoint "${endpoint.name}" is a plain service, which accepts no engine orders`,
        suggestion: 'for example false',
      });
    }
    return problems;
  });
};

/**
 * Returns the minimum duration of a move.
 *
 * @param move - the move
 * @returns the hold times of all stages plus the time for loading and status writes, in ms
 */
export const minimumMoveDurationMs = (move: Move): number =>
  move.stages.reduce((sum, { holdMs }) => sum + holdMs, MINIMUM_MOVE_OVERHEAD_MS);

const validateStages = (move: Move, index: number): readonly ValueProblem[] => {
  const shares = move.stages.map(({ share }) => share);
  const problems: ValueProblem[] = [];
  if (shares.at(-1) !== 1) {
    problems.push({
      path: ['moves', index, 'stages'],
      message: `the last stage of move "${move.name}" must have share 1`,
      suggestion: 'for example [{ "share": 0.1, … }, { "share": 1, … }]',
    });
  }
  const notIncreasing = shares.findIndex(
    (share, stageIndex) => stageIndex > 0 && share <= (shares[stageIndex - 1] ?? 0),
  );
  if (notIncreasing > 0) {
    problems.push({
      path: ['moves', index, 'stages', notIncreasing, 'share'],
      message: `must be above the share of the stage before it, ${shares[notIncreasing - 1]}`,
      suggestion: 'raise it or remove the stage',
    });
  }
  return problems;
};

const validateDeadline = (
  move: Move,
  index: number,
  unixNowMs: number,
): readonly ValueProblem[] => {
  const path = ['moves', index, 'completeBy'];
  const deadline = Date.parse(move.completeBy);
  if (Number.isNaN(deadline)) {
    return [
      { path, message: 'is not a valid date', suggestion: 'for example "2030-01-31T06:00:00Z"' },
    ];
  }
  const minimumMs = minimumMoveDurationMs(move);
  const remainingMs = deadline - unixNowMs;
  if (remainingMs >= minimumMs) return [];
  const earliest = new Date(unixNowMs + 2 * minimumMs).toISOString();
  return [
    {
      path,
      message:
        remainingMs <= 0
          ? `deadline of move "${move.name}" has passed`
          : `leaves ${remainingMs} ms, but the stages of move "${move.name}" take at least ${minimumMs} ms`,
      suggestion: `for example "${earliest}"`,
    },
  ];
};

const validateVersions = (bundle: Bundle, move: Move, index: number): readonly ValueProblem[] => {
  const pool = bundle.pools.find(({ name }) => name === move.pool);
  if (pool === undefined) {
    return [
      {
        path: ['moves', index, 'pool'],
        message: `move "${move.name}" changes pool "${move.pool}", which isn't declared`,
        suggestion: listOptions(bundle.pools.map(({ name }) => name)),
      },
    ];
  }
  const problems: ValueProblem[] = [];
  const versions = versionsOf(bundle, move.pool);
  if (!versions.includes(move.to)) {
    problems.push({
      path: ['moves', index, 'to'],
      message: `pool "${move.pool}" has no endpoint of version "${move.to}"`,
      suggestion: listOptions(versions.filter((version) => version !== move.from)),
    });
  }
  if (move.from !== pool.version) {
    problems.push({
      path: ['moves', index, 'from'],
      message: `pool "${move.pool}" serves version "${pool.version}", not "${move.from}"`,
      suggestion: `for example "${pool.version}"`,
    });
  }
  if (move.from === move.to) {
    problems.push({
      path: ['moves', index, 'to'],
      message: 'is the same version as the one that the move starts from',
      suggestion: listOptions(versions.filter((version) => version !== move.from)),
    });
  }
  return problems;
};

const validateOverlap = ({ moves }: Bundle): readonly ValueProblem[] =>
  moves.flatMap((move, index) => {
    const first = moves.findIndex(({ pool }) => pool === move.pool);
    if (first === index) return [];
    return [
      {
        path: ['moves', index, 'pool'],
        message: `moves "${moves[first]?.name}" and "${move.name}" of the same pool would overlap`,
        suggestion: 'roll the second move in a later bundle',
      },
    ];
  });

/**
 * Finds the problems of a bundle that its schema can't express, such as references to names that
 * aren't declared.
 *
 * @param bundle - the bundle with defaults filled in
 * @param unixNowMs - current Unix time in ms
 * @param activeMoveKeys - keys of moves in progress, whose deadlines aren't checked
 * @returns all problems; none if the bundle can be rolled
 */
export const validateBundle = (
  bundle: Bundle,
  unixNowMs: number,
  activeMoveKeys: ReadonlySet<string>,
): readonly ValueProblem[] => [
  ...findDuplicates(bundle),
  ...validateTiers(bundle),
  ...validateAccounts(bundle),
  ...validatePools(bundle),
  ...validateEndpoints(bundle),
  ...bundle.moves.flatMap((move, index) => [
    ...validateVersions(bundle, move, index),
    ...validateStages(move, index),
    ...(activeMoveKeys.has(moveKey(move)) ? [] : validateDeadline(move, index, unixNowMs)),
  ]),
  ...validateOverlap(bundle),
];
