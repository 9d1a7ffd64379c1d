import type { Reservation } from '../../src/protocol/peer/PeerMessage.ts';
import type { Bundle } from '../../src/state/Bundle.ts';
import type { Endpoint } from '../../src/state/Endpoint.ts';
import type { PoolRouting } from '../../src/state/PoolRouting.ts';
import type { EntrySettings, Timing } from '../../src/state/EntrySettings.ts';

export const POLICY: EntrySettings['policy'] = {
  order: 'product',
  placement: 'product',
  admission: 'product',
  accountLimits: 'product',
};

export const TIMING: Timing = {
  probeIntervalMs: 500,
  probeTimeoutMs: 200,
  suspicionMs: 1_000,
  incarnationLeaseMs: 3_000,
  incarnationLeaseMarginMs: 1_000,
  entriesKeepMs: 5_000,
  streamSilenceMs: 2_000,
  connectionTrustMs: 4_000,
  connectTimeoutMs: 1_000,
  loadReportIntervalMs: 500,
  moveLeaseMs: 5_000,
};

/** A pool `p` of endpoints e0, e1, … with version v1 unless said otherwise. */
export const poolBundle = (endpoints: readonly Partial<Endpoint>[]): Bundle => ({
  name: 'test',
  version: 1,
  tiers: [{ name: 'top', rank: 0, defaultDeadlineMs: 10_000 }],
  accounts: [],
  pools: [{ name: 'p', kind: { _tag: 'model', model: 'm' }, version: 'v1' }],
  endpoints: endpoints.map((endpoint, index) => ({
    name: `e${index}`,
    pool: 'p',
    version: 'v1',
    address: `http://127.0.0.1:${9_000 + index}`,
    failureDomain: 'a',
    slots: 1,
    prefillTokensPerSecond: 10_000,
    decodeTokensPerSecond: 100,
    checksFencing: false,
    loadByOrder: false,
    ...endpoint,
  })),
  moves: [],
});

export const poolRouting = (change: Partial<PoolRouting> = {}): PoolRouting => ({
  pool: 'p',
  stable: 'v1',
  condemned: [],
  ...change,
});

export const poolReservation = (id: string, change: Partial<Reservation> = {}): Reservation => ({
  id,
  pool: 'p',
  route: 'r',
  tierRank: 1,
  account: 'acme',
  promptTokens: 100,
  outputTokens: 50,
  remainingMs: 10_000,
  idempotent: true,
  suspendable: true,
  prefixes: [],
  avoid: [],
  ...change,
});
