import { execFile } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { expect } from 'earl';
import type { Owner } from '../support/Owner.ts';
import { keepsRests } from './keepsRests.ts';
import { playRests, type RestShape } from './playRests.ts';

const BUILD = fileURLToPath(new URL('../../scripts/buildPlatform.mjs', import.meta.url));

describe('gateways before endpoints that state what they want', () => {
  let folder = '';
  let program = '';

  before(async () => {
    folder = await mkdtemp(join(tmpdir(), 'rests-'));
    program = join(folder, 'gateway.cjs');
    await promisify(execFile)(process.execPath, [BUILD, program]);
  });
  after(() => rm(folder, { recursive: true }));

  const play = async (owner: Owner, seed: number, shape: RestShape): Promise<boolean> => {
    const whole = {
      seed,
      gateways: 3,
      endpoints: 3,
      shape,
      disturbance: { _tag: 'none' },
      rate: 30,
      askingMs: 9_000,
      program,
      folder,
    } as const;
    const result = await playRests(owner, whole);
    console.log(JSON.stringify(result));
    return keepsRests(whole, result);
  };

  // Guards against requests to an endpoint that has asked their gateway for rest (BUDGET).
  it('leave one alone that asks for rest, and use the others', async (context) => {
    expect(await play(context, 1, { _tag: 'resting', endpoints: 1, restSeconds: 3 })).toEqual(true);
  });

  // Guards against requests to an endpoint that has said in an answer that it leaves (DRAIN).
  it('send no more requests to one that leaves, and some to its next start', async (context) => {
    expect(await play(context, 2, { _tag: 'leaving' })).toEqual(true);
  });
});
