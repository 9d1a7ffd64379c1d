// Builds dist/corianderwick: a copy of the running Node program with the bundle inside.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { inject } from 'postject';
import { bundle, bundlePath } from './bundle.mjs';

const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

const pathOf = (name) => fileURLToPath(new URL(`../dist/${name}`, import.meta.url));
const binary = pathOf('corianderwick');
const seaConfiguration = pathOf('sea-config.json');
const blob = pathOf('corianderwick.blob');

await bundle();

writeFileSync(
  seaConfiguration,
  JSON.stringify({ main: bundlePath, output: blob, disableExperimentalSEAWarning: true }),
);
execFileSync(process.execPath, ['--experimental-sea-config', seaConfiguration], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
rmSync(binary, { force: true });
copyFileSync(process.execPath, binary);
chmodSync(binary, 0o755);
await inject(binary, 'NODE_SEA_BLOB', readFileSync(blob), { sentinelFuse: SENTINEL_FUSE });
rmSync(seaConfiguration);
rmSync(blob);
