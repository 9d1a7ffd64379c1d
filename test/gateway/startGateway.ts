import * as http from 'node:http';
import type { TestContext } from 'node:test';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import * as Scope from 'effect/Scope';
import pino from 'pino';
import { runGateway, type RunningGateway } from '../../src/app/gateway/index.ts';
import { formatAddresses } from '../../platform/formatAddresses.ts';
import { readCallerLocation } from '../../platform/readCallerLocation.ts';
import { makeObjectStore } from '../../platform/makeObjectStore.ts';
import { makeWireAdapter } from '../../platform/makeWireAdapter.ts';
import { PATHS } from '../../platform/names.ts';
import type { GatewayBounds, GatewaySettings } from '../../src/state/gateway/index.ts';
import { startObjectStore, type ObjectStoreStandIn } from './startObjectStore.ts';
import type { RunnerStandIn } from './startRunner.ts';

/** A gateway with its store. */
export interface GatewayStandIns {
  readonly store: ObjectStoreStandIn;
  readonly gateway: RunningGateway;
  /** What the gateway logged, a line each. */
  readonly log: readonly Record<string, unknown>[];
  /** Ends the gateway without a word to anyone. */
  readonly kill: () => Promise<void>;
}

/** An answer as a caller got it. */
export interface CallerAnswer {
  /** 0 where the connection closed before any answer. */
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer ended as HTTP frames it. */
  readonly complete: boolean;
}

/** A request of a caller. */
export interface CallerInput {
  readonly path: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Keeps the connection for further requests; undefined for a new connection. */
  readonly agent?: http.Agent;
}

const ANY = { host: '127.0.0.1', port: 0 };

/** Names that stand in every configuration of the tests. */
export const HOST = 'desk.example';
export const KEY = 'key-of-the-office';

/** A configuration with a route of each kind; `overrides` go over its top level. */
export const makeConfiguration = (
  version: number,
  overrides: Readonly<Record<string, unknown>> = {},
): Record<string, unknown> => {
  const route = (name: string, kind: string, service: string, more: object = {}) => ({
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    kind,
    timeout_ms: 2_000,
    target_latency_ms: 500,
    priority: 1,
    service,
    max_attempts: 2,
    allow_anonymous: false,
    session_affinity: false,
    stream_resume: false,
    gap_aim_ms: 500,
    ...more,
  });
  return {
    version,
    routes: [
      route('read', 'safe', 'plain'),
      route('write', 'unsafe', 'plain'),
      route('stream', 'stream', 'model'),
      route('resumed', 'stream', 'model', { stream_resume: true }),
      route('brief', 'safe', 'plain', { timeout_ms: 150 }),
    ],
    services: [
      { name: 'plain', health_path: '/healthz', max_connections: 90, protocol: 'h1', tls: false },
      {
        name: 'model',
        health_path: '/healthz',
        max_connections: 90,
        engine: { slots: 4, kv_capacity_tokens: 100_000, stride: 5 },
      },
    ],
    limits: {
      max_header_bytes: 4_096,
      max_body_bytes: 1_000,
      header_timeout_ms: 500,
      idle_timeout_ms: 5_000,
    },
    tenants: [
      {
        name: 'office',
        api_keys: [KEY],
        priority: 1,
        unit: 'tokens',
        plain_tokens: 200,
        rate_per_s: 0,
      },
    ],
    ...overrides,
  };
};

/** What a runner writes of itself. */
export const runnerSpec = (
  service: string,
  { address }: Pick<RunnerStandIn, 'address'>,
  more: object = {},
): Record<string, unknown> => ({
  service,
  address,
  zone: 'a',
  version: 'v1',
  slots: 4,
  state: 'ready',
  cold_remaining_ms: 0,
  seq: 1,
  ...more,
});

/** What may differ between gateways of one test. */
export interface GatewayDifferences {
  readonly instance?: string;
  readonly failureDomain?: string;
  readonly seeds?: readonly string[];
  readonly store?: ObjectStoreStandIn;
  /** Bounds in addition to the usual ones. */
  readonly bounds?: Partial<GatewayBounds>;
  readonly hedging?: GatewaySettings['hedging'];
}

/** Starts a gateway, with a store of its own and nothing in it where none is given. */
export const startGateway = async (
  context: TestContext,
  {
    instance = 'front-a-1',
    failureDomain = 'a',
    seeds = [],
    store: given,
    bounds = {},
    hedging,
  }: GatewayDifferences = {},
): Promise<GatewayStandIns> => {
  const store = given ?? (await startObjectStore(context));
  const log: Record<string, unknown>[] = [];
  const logger = pino({}, { write: (line: string) => log.push(JSON.parse(line)) });
  const scope = Scope.makeUnsafe();
  const kill = (): Promise<void> => Effect.runPromise(Scope.close(scope, Exit.void));
  context.after(kill);
  const gateway = await Effect.runPromise(
    Scope.provide(
      runGateway({
        settings: {
          instance,
          failureDomain,
          region: 'here',
          callers: ANY,
          readiness: ANY,
          directory: ANY,
          peers: ANY,
          metrics: ANY,
          seeds,
          cores: 1,
          storeAddress: store.address,
          isFirstStart: true,
          bounds: {
            graceMs: 3_000,
            retryRatio: 0.2,
            retrySlack: 20,
            retryWindowMs: 10_000,
            quotaWindowMs: 8_000,
            quotaOvershoot: 0.1,
            quotaSlack: 1_000,
            addressesKeepMs: 5_000,
            ...bounds,
          },
          ...(hedging && { hedging }),
        },
        wire: makeWireAdapter(),
        log: { logger, droppedLines: () => 0, flush: () => {} },
        makeStore: (pool, onCall) => makeObjectStore({ address: store.address, pool, onCall }),
        paths: PATHS,
        readCallerLocation,
        formatAddresses,
      }),
      scope,
    ),
  );
  return { store, gateway, log, kill };
};

/** Asks a small question at one of a gateway's addresses. */
export const ask = (address: string, path: string): Promise<CallerAnswer> =>
  call(address, { path });

/** Waits until a gateway is ready. */
export const untilReady = async ({ gateway }: GatewayStandIns): Promise<void> => {
  const { status } = await ask(gateway.addresses.readiness, PATHS.readiness);
  if (status === 200) return;
  await new Promise((resolve) => {
    setTimeout(resolve, 5);
  });
  await untilReady({ gateway } as GatewayStandIns);
};

/** Starts a gateway whose store lists a configuration and runners, and waits until it is ready. */
export const startReadyGateway = async (
  context: TestContext,
  runners: Readonly<Record<string, Record<string, unknown>>>,
  configuration = makeConfiguration(7),
): Promise<GatewayStandIns> => {
  const standIns = await startGateway(context);
  Object.entries(runners).forEach(([name, spec]) => standIns.store.put('servers', name, spec));
  standIns.store.put('config', 'main', configuration);
  await untilReady(standIns);
  return standIns;
};

let requests = 0;

/** Sends a caller's request and collects its answer, however it ends. */
export function call(
  address: string,
  { path, method = 'GET', headers = {}, body, agent }: CallerInput,
): Promise<CallerAnswer> {
  const [host, port] = address.split(':');
  requests += 1;
  return new Promise((resolve) => {
    const request = http.request({
      host,
      port,
      path,
      method,
      agent: agent ?? false,
      headers: {
        host: HOST,
        'x-corianderwick-request-id': `request-${requests}`,
        'x-corianderwick-key': KEY,
        'x-corianderwick-deadline-ms': '2000',
        ...headers,
      },
    });
    request.maxHeadersCount = 0;
    request.on('error', () => resolve({ status: 0, headers: {}, body: '', complete: false }));
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => {});
      response.on('close', () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
          complete: response.complete,
        }),
      );
    });
    request.end(body);
  });
}
