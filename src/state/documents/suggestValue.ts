const EXAMPLE_VALUES: Readonly<Record<string, string>> = {
  address: '"http://10.0.0.4:8000"',
  callerAddress: '"10.0.0.1:8080"',
  peerAddress: '"10.0.0.1:9080"',
  seeds: '["10.0.0.2:9080"]',
  completeBy: '"2030-01-31T06:00:00Z"',
  keyDigest: '"sha256:" and 64 hex digits, as `printf %s KEY | sha256sum` prints them',
  peerSecret: 'a random text of at least 16 characters',
  failureDomain: '"domain-a"',
  region: '"default"',
  name: '"summaries"',
  pool: '"summaries"',
  model: '"brief-summary"',
  pathPrefix: '"/services/holds"',
  version: '"v1" for a pool, endpoint or move, 1 for a bundle',
  from: '"v1"',
  to: '"v2"',
  tier: '"urgent"',
  rank: '0',
  defaultDeadlineMs: '30000',
  requestsPerSecond: '50',
  tokensPerSecond: '20000',
  concurrency: '32',
  slots: '8',
  prefillTokensPerSecond: '2000',
  decodeTokensPerSecond: '40',
  share: '0.1',
  holdMs: '2000',
  minimumSamples: '40',
  maximumUnproven: '4',
  tiers: '[{ "name": "urgent", "rank": 0, "defaultDeadlineMs": 30000 }]',
  accounts: '[]',
  pools: '[]',
  endpoints: '[]',
  moves: '[]',
  platform: '{ "address": "http://10.0.0.9:8001" }',
  kind: '{ "_tag": "model", "model": "brief-summary" } or { "_tag": "service", "pathPrefix": "/services/holds" }',
  _tag: '"model" or "service"',
  timeoutMs: '1000',
  logLevel: '"info"',
};

const EXCESS_PROPERTY_MESSAGE = 'Expected no excess property';

/**
 * Suggests how to correct an invalid value, with an example value if its key has one.
 *
 * @param path - path of the invalid value
 * @param message - message of the schema's decoder
 * @returns the suggestion, a phrase without a final period
 */
export const suggestValue = (path: readonly (string | number)[], message: string): string => {
  if (message === EXCESS_PROPERTY_MESSAGE) return 'remove it, or correct the spelling of its name';
  const name = [...path].reverse().find((part) => typeof part === 'string');
  const example = typeof name === 'string' ? EXAMPLE_VALUES[name] : undefined;
  return example === undefined ? 'see the settings reference for values' : `for example ${example}`;
};
