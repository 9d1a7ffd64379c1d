import * as Effect from 'effect/Effect';
import { CONNECT_TIMEOUT_MS, type ResourceLimits } from '../../coordination/gateway/index.ts';
import { makeConnectionPool } from '../../transport/http/index.ts';
import type { FaultLog } from './FaultLog.ts';

/** Connections idle for longer are not reused, because endpoints close idle ones after some seconds. */
const ENDPOINT_MAXIMUM_IDLE_MS = 1_500;
const PEER_MAXIMUM_IDLE_MS = 3_000;
const STORE_MAXIMUM_IDLE_MS = 10_000;

/**
 * Makes the pools of connections to endpoints, peers and the store; they close with the scope.
 *
 * @param now - returns the present time in ms, monotonic
 * @param faults - logs errors that were thrown while an answer was handled
 * @param resources - limits of the process
 */
export const makeConnectionPools = (
  now: () => number,
  faults: FaultLog,
  { endpointConnections }: Pick<ResourceLimits, 'endpointConnections'>,
) => {
  const onFault = faults.reporter('answer');
  return Effect.all({
    endpointPool: makeConnectionPool({
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      connectionTrustMs: ENDPOINT_MAXIMUM_IDLE_MS,
      maximumConnections: endpointConnections,
      now,
      onFault,
    }),
    peerPool: makeConnectionPool({
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      connectionTrustMs: PEER_MAXIMUM_IDLE_MS,
      now,
      onFault,
    }),
    storePool: makeConnectionPool({
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      connectionTrustMs: STORE_MAXIMUM_IDLE_MS,
      now,
      onFault,
    }),
  });
};
