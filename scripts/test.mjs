// Runs every test file below src and test, in a fixed order, on Node's own runner.
import { spawnSync } from 'node:child_process';
import { existsSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = fileURLToPath(new URL('..', import.meta.url));

const testFiles = ['src', 'test']
  .filter((folder) => existsSync(join(root, folder)))
  .flatMap((folder) =>
    readdirSync(join(root, folder), { recursive: true }).map((name) => join(folder, String(name))),
  )
  .filter((name) => name.endsWith('.test.ts'))
  .sort();

const wanted = process.argv.slice(2);
const files = wanted.length > 0 ? wanted : testFiles;
const { status } = spawnSync(
  process.execPath,
  ['--import', 'tsx', '--test', '--test-reporter=spec', ...files],
  { cwd: root, stdio: ['ignore', 'inherit', 'inherit'] },
);
process.exitCode = status ?? 1;
