// Bundles the gateway for the users' platform: `node scripts/buildPlatform.mjs [FILE]`. A small file that catches signals loads
// the program from a second one beside it, FILE with `.program` before its extension.
import { basename, extname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { bundle } from './bundle.mjs';

const DEFAULT_FILE = fileURLToPath(new URL('../target/gateway.cjs', import.meta.url));

const file = process.argv[2] ?? DEFAULT_FILE;
const extension = extname(file);
const programFile = `${file.slice(0, -extension.length)}.program${extension}`;

const programBeside = {
  name: 'program-beside',
  setup(plugin) {
    plugin.onResolve({ filter: /^\.\/program\.ts$/ }, () => ({
      path: `./${basename(programFile)}`,
      external: true,
    }));
  },
};

await bundle('platform/program.ts', programFile);
await bundle('platform/main.ts', file, {
  plugins: [programBeside],
  // The second file is loaded by `require`, as it is of the same form.
  supported: { 'dynamic-import': false },
});
