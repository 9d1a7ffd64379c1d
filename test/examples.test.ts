import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { expect } from 'earl';
import { formatProblem, loadBundle, loadEntrySettings } from '../src/state/documents/index.ts';
import type { Bundle } from '../src/state/Bundle.ts';
import type { LoadResult } from '../src/state/documents/index.ts';

const PRESENT = Date.parse('2026-12-01T00:00:00Z');

const read = (name: string): string =>
  readFileSync(new URL(`../docs/examples/${name}`, import.meta.url), 'utf8');

const expectValid = <A>(loaded: LoadResult<A>): A => {
  if (loaded._tag === 'invalid') throw new Error(loaded.problems.map(formatProblem).join('\n'));
  return loaded.value;
};

const readBundle = (name: string) => expectValid(loadBundle(read(name), PRESENT));
const readSettings = (name: string) => expectValid(loadEntrySettings(read(name)));

test('the example settings pass the check', () => {
  const names = ['settings.jsonc', 'orbitale/settings.jsonc', 'snow/settings.jsonc'];
  const domains = names.map((name) => readSettings(name).failureDomain);
  expect(domains).toEqual(['fd-a', 'fd-a', 'fd-a']);
});

test('the settings with every field show the defaults', () => {
  const shown = readSettings('settings.jsonc');
  const { limits, timing, policy } = readSettings('orbitale/settings.jsonc');
  expect({ ...shown, limits, timing, policy }).toEqual(shown);
});

[
  { deployment: 'orbitale', modelRunners: 6 },
  { deployment: 'snow', modelRunners: 12 },
].forEach(({ deployment, modelRunners }) => {
  test(`the first bundle of ${deployment} has the instances and accounts of its deployment`, () => {
    const bundle = readBundle(`${deployment}/bundle.jsonc`);
    const models = new Set(
      bundle.pools.filter(({ kind }) => kind._tag === 'model').map(({ name }) => name),
    );
    const countInstances = (ofModels: boolean) =>
      new Set(
        bundle.endpoints
          .filter(({ pool }) => models.has(pool) === ofModels)
          .map(({ address }) => new URL(address).hostname),
      ).size;
    expect(countInstances(true)).toEqual(modelRunners);
    expect(countInstances(false)).toEqual(3);
    expect(bundle.accounts.length).toEqual(5);
    expect(new Set(bundle.endpoints.map(({ failureDomain }) => failureDomain)).size).toEqual(3);
  });

  test(`the second bundle of ${deployment} differs from the first by a move and its endpoints`, () => {
    const first = readBundle(`${deployment}/bundle.jsonc`);
    const second = readBundle(`${deployment}/bundle-2.jsonc`);
    const [move] = second.moves;
    const kept = second.endpoints.filter(({ version }) => version !== move?.to);
    expect(second.moves.length).toEqual(1);
    const withoutMove: Bundle = { ...second, version: 1, moves: [], endpoints: kept };
    expect(withoutMove).toEqual(first);
  });
});
