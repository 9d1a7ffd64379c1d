// Bundles the program into dist/corianderwick.cjs, one CommonJS file without dependencies.
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = fileURLToPath(new URL('..', import.meta.url));

/** Path of the bundled program. */
export const bundlePath = fileURLToPath(new URL('../dist/corianderwick.cjs', import.meta.url));

/** Writes the bundle. */
export const bundle = () =>
  build({
    absWorkingDir: root,
    entryPoints: ['src/main.ts'],
    outfile: bundlePath,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    // Packages that ship both forms are smaller and load faster as ES modules.
    mainFields: ['module', 'main'],
    // Oclif would load these only to run a plugin's sources, which one binary has none of.
    external: ['typescript', 'pnpapi'],
    legalComments: 'none',
    logLevel: 'warning',
  });

if (process.argv[1] === fileURLToPath(import.meta.url)) await bundle();
