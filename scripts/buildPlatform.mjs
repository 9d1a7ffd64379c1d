// Bundles the gateway for the users' platform into target/gateway.cjs.
import { fileURLToPath } from 'node:url';
import { bundle } from './bundle.mjs';

await bundle('platform/main.ts', fileURLToPath(new URL('../target/gateway.cjs', import.meta.url)));
