// Bundles the program into dist/corianderwick.cjs, one CommonJS file without dependencies.
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = fileURLToPath(new URL('..', import.meta.url));

/**
 * Modules that libraries try to load and do without. In one binary a `require` of anything but
 * Node's own modules prints a warning, so these fail within the bundle instead.
 */
const ABSENT = /^(bufferutil|utf-8-validate|msgpackr-extract|typescript|pnpapi)$/;

const absentModules = {
  name: 'absent-modules',
  setup(plugin) {
    plugin.onResolve({ filter: ABSENT }, ({ path }) => ({ path, namespace: 'absent' }));
    plugin.onLoad({ filter: /.*/, namespace: 'absent' }, ({ path }) => ({
      contents: `throw new Error('${path} is not part of the bundle')`,
    }));
  },
};

/** Path of the bundled program. */
export const bundlePath = fileURLToPath(new URL('../dist/corianderwick.cjs', import.meta.url));

/** Writes the bundle of a program. */
export const bundle = (entryPoint = 'src/main.ts', outfile = bundlePath, options = {}) =>
  build({
    absWorkingDir: root,
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    // Packages that ship both forms are smaller and load faster as ES modules.
    mainFields: ['module', 'main'],
    plugins: [absentModules],
    legalComments: 'none',
    logLevel: 'warning',
    ...options,
  });

if (process.argv[1] === fileURLToPath(import.meta.url)) await bundle();
