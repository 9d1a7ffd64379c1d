import type { Grant, PeerMessage, Reservation } from '../../src/protocol/peer/PeerMessage.ts';
import type { Bundle } from '../../src/state/Bundle.ts';
import type { ClientAccount } from '../../src/state/ClientAccount.ts';
import type { Endpoint } from '../../src/state/Endpoint.ts';

const PREFIXES = 8;

export const POOL = 'launch-desk';
export const VERSION = '2026-10';

/** Gives an endpoint like those of the example bundles. */
export const sampleEndpoint = (index: number): Endpoint => ({
  name: `runner-${index}`,
  pool: POOL,
  version: VERSION,
  address: `http://10.${Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}:9000`,
  failureDomain: `fd-${index % 14}`,
  slots: 16,
  prefillTokensPerSecond: 6_000 + (index % 3) * 3_000,
  decodeTokensPerSecond: 30 + (index % 3) * 30,
  checksFencing: index % 2 === 0,
  loadByOrder: false,
});

/** Gives a client account like those of the example bundles. */
export const sampleAccount = (index: number): ClientAccount => ({
  name: `account-${index}`,
  tier: 'desk',
  keyDigest: `sha256:${index.toString(16).padStart(64, '0')}`,
  requestsPerSecond: 1_000_000,
  tokensPerSecond: 1_000_000_000,
  concurrency: 1_000_000,
});

/** Gives a bundle of one pool. */
export const sampleBundle = (endpoints: number, accounts: number): Bundle => ({
  name: 'sample',
  version: 1,
  tiers: [{ name: 'desk', rank: 0, defaultDeadlineMs: 8_000 }],
  accounts: Array.from({ length: accounts }, (_, index) => sampleAccount(index)),
  pools: [{ name: POOL, kind: { _tag: 'model', model: POOL }, version: VERSION }],
  endpoints: Array.from({ length: endpoints }, (_, index) => sampleEndpoint(index)),
  moves: [],
});

const hash = (index: number): string => (index * 2_654_435_761).toString(16).padStart(16, '0');

/** Gives a reservation of a short chat. */
export const sampleReservation = (index: number): Reservation => ({
  id: `0123456789abcdef0123.t8x1_${index.toString(36).padStart(12, '0')}`,
  pool: POOL,
  route: '/v1/chat/completions',
  tierRank: 0,
  account: `account-${index % 460}`,
  promptTokens: 512,
  outputTokens: 128,
  remainingMs: 8_000,
  idempotent: true,
  suspendable: true,
  prefixes: Array.from({ length: PREFIXES }, (_, prefix) => hash(index * PREFIXES + prefix)),
  avoid: [],
});

/** Gives the release that ends a grant. */
export const sampleRelease = ({ id, pool, endpoint, version }: Grant): PeerMessage => ({
  _tag: 'release',
  id,
  pool,
  endpoint,
  version,
  route: '/v1/chat/completions',
  record: {
    result: 'completed',
    firstTokenMs: 80,
    totalMs: 1_500,
    promptTokens: 512,
    cachedTokens: 128,
    outputTokens: 128,
    connectFailure: false,
  },
});
