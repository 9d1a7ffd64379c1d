import { execFile } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before } from 'node:test';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

const BUILD = fileURLToPath(new URL('../../scripts/buildPlatform.mjs', import.meta.url));

/**
 * Builds the gateway's program before the tests of a suite, and removes it after them.
 *
 * @returns the paths of the program and of a folder for logs, which are set once the tests run
 */
export const useGatewayProgram = (): { program: string; folder: string } => {
  const paths = { program: '', folder: '' };
  before(async () => {
    paths.folder = await mkdtemp(join(tmpdir(), 'gateway-'));
    paths.program = join(paths.folder, 'gateway.cjs');
    await promisify(execFile)(process.execPath, [BUILD, paths.program]);
  });
  after(() => rm(paths.folder, { recursive: true }));
  return paths;
};
