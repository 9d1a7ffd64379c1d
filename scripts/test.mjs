// Runs the test files named on the command line, or all of them, on Node's own runner.
// Tests that KNOWN-RED.txt names run as well, but their failures don't fail the run.
import { existsSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { spec as Spec } from 'node:test/reporters';
import { fileURLToPath } from 'node:url';
import { KnownFailures } from './KnownFailures.mjs';

const CONCURRENT_FILES = 4;
// Only there to end a test that hangs; no test measures itself by it.
const TEST_TIMEOUT_MS = 180_000;

const root = fileURLToPath(new URL('..', import.meta.url));

const findTestFiles = () =>
  ['src', 'platform', 'test']
    .filter((folder) => existsSync(join(root, folder)))
    .flatMap((folder) =>
      readdirSync(join(root, folder), { recursive: true }).map((name) => join(folder, `${name}`)),
    )
    .filter((name) => name.endsWith('.test.ts'))
    .sort();

const wanted = process.argv.slice(2);
const files = wanted.length > 0 ? wanted : findTestFiles();
const knownFailures = new KnownFailures(root, files);

// The runner starts each file as a process of its own with these arguments.
process.execArgv.push('--import', 'tsx');

run({
  files: files.map((name) => join(root, name)),
  concurrency: CONCURRENT_FILES,
  timeout: TEST_TIMEOUT_MS,
})
  .compose(async function* excuse(events) {
    for await (const event of events) yield* knownFailures.excuse(event);
    process.exitCode = knownFailures.failed() ? 1 : 0;
  })
  .compose(new Spec())
  .pipe(process.stdout);
