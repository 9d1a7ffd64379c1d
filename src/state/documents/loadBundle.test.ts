import { test } from 'node:test';
import { expect } from 'earl';
import type { Bundle } from '../Bundle.ts';
import { makeBundle, makeMove, START } from '../../../test/fakes/makeBundle.ts';
import { formatProblem } from './DocumentProblem.ts';
import { loadBundle } from './loadBundle.ts';

const problemsOf = (text: string): readonly string[] => {
  const loaded = loadBundle(text, START);
  return loaded._tag === 'valid' ? [] : loaded.problems.map(({ path }) => path);
};

test('a bundle with comments and trailing commas is valid', () => {
  const text = JSON.stringify(makeBundle(1, [makeMove()]));
  expect(problemsOf(`// the resorts\n${text.slice(0, -1)},}`)).toEqual([]);
});

test('a problem has a position, a message and a suggestion', () => {
  const loaded = loadBundle('{\n  "name": "x",\n  "versoin": 1\n}', START);
  const problems = loaded._tag === 'invalid' ? loaded.problems : [];
  expect(problems.map(formatProblem).join('\n')).toInclude(
    'document:3:14: versoin: Expected no excess property; remove it',
  );
  expect(problems.some(({ path, suggestion }) => path === 'version' && suggestion !== '')).toEqual(
    true,
  );
});

const FAULTS: readonly (readonly [string, (bundle: Bundle) => unknown, string])[] = [
  [
    'an account in an unknown tier',
    (b) => ({ ...b, accounts: b.accounts.map((a) => ({ ...a, tier: 'x' })) }),
    'accounts[0].tier',
  ],
  [
    'a tier that no account uses',
    (b) => ({ ...b, tiers: [...b.tiers, { name: 'b', rank: 1, defaultDeadlineMs: 10 }] }),
    'tiers[1]',
  ],
  [
    'a move to a version without endpoints',
    (b) => ({ ...b, moves: [makeMove({ to: 'v3' })] }),
    'moves[0].to',
  ],
  [
    'a deadline too early for the stages of the move',
    (b) => ({ ...b, moves: [makeMove({ completeBy: new Date(START + 2_500).toISOString() })] }),
    'moves[0].completeBy',
  ],
  [
    'a date that does not exist',
    (b) => ({ ...b, moves: [makeMove({ completeBy: '2030-99-01T00:00:00Z' })] }),
    'moves[0].completeBy',
  ],
  [
    'two moves of the same pool',
    (b) => ({ ...b, moves: [makeMove(), makeMove({ name: 'other' })] }),
    'moves[1].pool',
  ],
  [
    'a pool whose version has no endpoint',
    (b) => ({ ...b, pools: b.pools.map((p) => ({ ...p, version: 'v9' })) }),
    'pools[0].version',
  ],
  [
    'two endpoints with the same name',
    (b) => ({ ...b, endpoints: [...b.endpoints, b.endpoints[0]] }),
    'endpoints[2].name',
  ],
  [
    'two pools with the same model',
    (b) => ({ ...b, pools: [...b.pools, { ...b.pools[0], name: 'twin' }] }),
    'pools[1].kind',
  ],
  [
    'an endpoint in an unknown pool',
    (b) => ({ ...b, endpoints: b.endpoints.map((e) => ({ ...e, pool: 'x' })) }),
    'endpoints[0].pool',
  ],
  [
    'stages that do not end with share 1',
    (b) => ({
      ...b,
      moves: [makeMove({ stages: [{ share: 0.5, holdMs: 0, minimumSamples: 0 }] })],
    }),
    'moves[0].stages',
  ],
];

FAULTS.forEach(([name, change, path]) => {
  test(`validation reports ${name}`, () => {
    expect(problemsOf(JSON.stringify(change(makeBundle(1)))).includes(path)).toEqual(true);
  });
});
