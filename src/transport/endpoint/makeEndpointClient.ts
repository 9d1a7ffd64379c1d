import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type {
  EndpointCall,
  EndpointClient,
  EndpointEvent,
  EndpointRequest,
} from '../../protocol/engine/EndpointClient.ts';
import {
  decodeCacheEvents,
  decodeLoadReport,
  decodeVersions,
} from '../../protocol/engine/engineAnswers.ts';
import type { Limits, Timing } from '../../state/EntrySettings.ts';
import { makeConnectionPool, requestWhole } from '../http/index.ts';
import type { ConnectionPool, WholeOutcome, WholeRequest } from '../http/index.ts';
import { EngineCall } from './EngineCall.ts';
import { ServiceCall } from './ServiceCall.ts';
import { orderOutcome } from './orderOutcome.ts';

/** What an endpoint client is made of. */
export interface EndpointClientOptions {
  readonly timing: Timing;
  readonly limits: Limits;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

const CONTROL_TIMEOUT_MS = 2_000;
const ORDER_TIMEOUT_MS = 10_000;
const MAXIMUM_CONTROL_BYTES = 1024 * 1024;

const runWhole = (pool: ConnectionPool, request: WholeRequest): Effect.Effect<WholeOutcome> =>
  Effect.callback<WholeOutcome>((resume) => {
    const call = requestWhole(pool, request, (outcome) => resume(Effect.succeed(outcome)));
    return Effect.sync(call.abort);
  });

const getDecoded = <A>(
  pool: ConnectionPool,
  address: string,
  path: string,
  decode: (text: string) => A | undefined,
): Effect.Effect<A | undefined> =>
  runWhole(pool, {
    address,
    method: 'GET',
    path,
    fresh: false,
    timeoutMs: CONTROL_TIMEOUT_MS,
    maximumBytes: MAXIMUM_CONTROL_BYTES,
  }).pipe(
    Effect.map((outcome) =>
      outcome._tag === 'answered' && outcome.status === 200 ? decode(outcome.text) : undefined,
    ),
  );

/**
 * Makes the way to endpoints. Connections close with the scope.
 *
 * @param options - times, sizes and the clock
 * @returns the client
 */
export const makeEndpointClient = (
  options: EndpointClientOptions,
): Effect.Effect<EndpointClient, never, Scope.Scope> =>
  makeConnectionPool({
    connectTimeoutMs: options.timing.connectTimeoutMs,
    connectionTrustMs: options.timing.connectionTrustMs,
    now: options.now,
  }).pipe(
    Effect.map((pool) => ({
      call: (request: EndpointRequest, onEvent: (event: EndpointEvent) => void): EndpointCall =>
        request.engine
          ? new EngineCall(pool, request, options.timing.streamSilenceMs, onEvent)
          : new ServiceCall(pool, request, onEvent),
      load: (address) => getDecoded(pool, address, '/v1/load', decodeLoadReport),
      cacheEvents: (address, afterSequence) =>
        getDecoded(
          pool,
          address,
          `/v1/cache/events?after=${afterSequence}`,
          (text) => decodeCacheEvents(text)?.events,
        ),
      versions: (address) =>
        getDecoded(pool, address, '/v1/versions', (text) => decodeVersions(text)?.versions),
      order: (address, order) =>
        runWhole(pool, {
          address,
          method: 'POST',
          path: '/v1/orders',
          json: order,
          fresh: true,
          timeoutMs: ORDER_TIMEOUT_MS,
          maximumBytes: MAXIMUM_CONTROL_BYTES,
        }).pipe(Effect.map(orderOutcome)),
    })),
  );
