// Runs the test files named on the command line, or all of them, on Node's own runner.
// Tests that KNOWN-RED.txt names run as well, but their failures don't fail the run.
import { existsSync, readdirSync } from 'node:fs';
import { join, relative, resolve } from 'node:path';
import { run } from 'node:test';
import { spec as Spec } from 'node:test/reporters';
import { fileURLToPath } from 'node:url';
import { KnownFailures } from './KnownFailures.mjs';

const CONCURRENT_FILES = 4;
// Only there to end a test that hangs; no test measures itself by it.
const TEST_TIMEOUT_MS = 180_000;

/** Files below it run one at a time. */
const ALONE_FOLDER = join('test', 'crowds', '/');

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

// The runner starts each file as a process of its own with these arguments.
process.execArgv.push('--import', 'tsx');

/** Runs some files, so many at a time, and prints what they report; resolves to whether they failed. */
const runFiles = async (names, concurrency) => {
  const knownFailures = new KnownFailures(root, names);
  const events = run({
    files: names.map((name) => join(root, name)),
    concurrency,
    timeout: TEST_TIMEOUT_MS,
  });
  const lines = events
    .compose(async function* excuse(source) {
      for await (const event of source) yield* knownFailures.excuse(event);
    })
    .compose(new Spec());
  for await (const line of lines) process.stdout.write(line);
  return knownFailures.failed();
};

// The tests of crowds measure the memory of a process under load, so nothing else runs beside them. They come first,
// since the closing lines of the last run are CI's summary.
const isAlone = (name) => relative(root, resolve(root, name)).startsWith(ALONE_FOLDER);
const runs = [
  { names: files.filter(isAlone), concurrency: 1 },
  { names: files.filter((name) => !isAlone(name)), concurrency: CONCURRENT_FILES },
];
for (const { names, concurrency } of runs) {
  if (names.length > 0 && (await runFiles(names, concurrency))) process.exitCode = 1;
}
