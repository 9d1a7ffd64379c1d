// Installs the locked packages where they are missing, so that each npm command works in a fresh clone.
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';

if (!existsSync(new URL('../node_modules/.package-lock.json', import.meta.url))) {
  const { status } = spawnSync('npm', ['ci', '--ignore-scripts'], {
    cwd: new URL('..', import.meta.url),
    stdio: ['ignore', 'inherit', 'inherit'],
  });
  process.exitCode = status ?? 1;
}
