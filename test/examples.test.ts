import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as Schema from 'effect/Schema';
import { parse } from 'jsonc-parser';
import { Bundle } from '../src/state/Bundle.ts';
import { Settings } from '../src/state/Settings.ts';

const read = (name: string): unknown =>
  parse(readFileSync(new URL(`../docs/examples/${name}`, import.meta.url), 'utf8'), [], {
    allowTrailingComma: true,
  });

const readBundle = (name: string) => Schema.decodeUnknownSync(Bundle)(read(name));

describe('the example files', () => {
  ['settings.jsonc', 'orbitale/settings.jsonc', 'snow/settings.jsonc'].forEach((name) => {
    it(`${name} are settings that the schema accepts`, () => {
      expect(Schema.decodeUnknownSync(Settings)(read(name)).failureDomain).toEqual('fd-a');
    });
  });

  [
    { deployment: 'orbitale', modelRunners: 6 },
    { deployment: 'snow', modelRunners: 12 },
  ].forEach(({ deployment, modelRunners }) => {
    it(`the bundle of ${deployment} has the instances and accounts of its deployment`, () => {
      const bundle = readBundle(`${deployment}/bundle.jsonc`);
      const models = new Set(
        bundle.pools.filter(({ kind }) => kind._tag === 'model').map(({ name }) => name),
      );
      const addresses = (wanted: boolean) =>
        new Set(
          bundle.endpoints
            .filter(({ pool }) => models.has(pool) === wanted)
            .map(({ address }) => new URL(address).hostname),
        ).size;
      expect(addresses(true)).toEqual(modelRunners);
      expect(addresses(false)).toEqual(3);
      expect(bundle.accounts.length).toEqual(5);
      expect(new Set(bundle.endpoints.map(({ failureDomain }) => failureDomain)).size).toEqual(3);
    });
  });

  it('the settings with every field show the defaults', () => {
    const shown = Schema.decodeUnknownSync(Settings)(read('settings.jsonc'));
    const least = Schema.decodeUnknownSync(Settings)(read('orbitale/settings.jsonc'));
    expect({ ...shown, limits: least.limits, timing: least.timing, policy: least.policy }).toEqual(
      shown,
    );
  });
});
