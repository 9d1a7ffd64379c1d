// Bundles the gateway for the users' platform: `node scripts/buildPlatform.mjs [FILE]`.
import { fileURLToPath } from 'node:url';
import { bundle } from './bundle.mjs';

const DEFAULT_FILE = fileURLToPath(new URL('../target/gateway.cjs', import.meta.url));

await bundle('platform/main.ts', process.argv[2] ?? DEFAULT_FILE);
