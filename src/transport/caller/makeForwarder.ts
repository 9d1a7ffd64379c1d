import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type { CallerAnswer, CallerRequest } from '../../protocol/caller/CallerRequest.ts';
import {
  answerHeadersToPassOn,
  DEADLINE_HEADER,
  FORWARDED_HEADER,
  IDEMPOTENT_HEADER,
  REQUEST_ID_HEADER,
} from '../../protocol/caller/headers.ts';
import type { Timing } from '../../state/Settings.ts';
import { exchange, makeConnectionPool } from '../http/index.ts';
import type { ConnectionPool, ExchangeEvent } from '../http/index.ts';
import { EventRelay } from './EventRelay.ts';

/** What became of passing a request on. */
export type ForwardOutcome =
  /** The home's answer was passed on, whole or cut. */
  | { readonly _tag: 'answered' }
  /** The home surely got nothing of the request; nothing was told to the caller. */
  | { readonly _tag: 'unreachable'; readonly detail: string };

/** Passes callers' requests to the entry that owns them. */
export interface Forwarder {
  /**
   * @param callerAddress - the home's `IP:PORT` for callers
   * @param request - the request as it came
   * @param id - its id
   * @param answer - where the home's answer goes
   * @param onOutcome - told once
   */
  readonly forward: (
    callerAddress: string,
    request: CallerRequest,
    id: string,
    answer: CallerAnswer,
    onOutcome: (outcome: ForwardOutcome) => void,
  ) => void;
}

/** What a forwarder is made of. */
export interface ForwarderOptions {
  readonly timing: Timing;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

const forwardedHeaders = (request: CallerRequest, id: string): Record<string, string> => ({
  ...request.headers,
  authorization: `Bearer ${request.key}`,
  [REQUEST_ID_HEADER]: id,
  [FORWARDED_HEADER]: '1',
  ...(request.remainingMs !== undefined && {
    [DEADLINE_HEADER]: String(Math.max(1, Math.floor(request.remainingMs))),
  }),
  ...(request.idempotent !== undefined && { [IDEMPOTENT_HEADER]: String(request.idempotent) }),
});

const forward = (
  pool: ConnectionPool,
  callerAddress: string,
  request: CallerRequest,
  id: string,
  answer: CallerAnswer,
  onOutcome: (outcome: ForwardOutcome) => void,
): void => {
  let relay: EventRelay | undefined;
  const fail = (): void => {
    if (answer.started()) answer.cut('entry_lost');
    else answer.tellUnknown('entry_lost');
    onOutcome({ _tag: 'answered' });
  };
  const onEvent = (event: ExchangeEvent): void => {
    switch (event._tag) {
      case 'written':
        return;
      case 'refused':
        onOutcome({ _tag: 'unreachable', detail: event.detail });
        return;
      case 'head': {
        const headers = answerHeadersToPassOn(event.headers);
        if (request.path.startsWith('/v1/') && EventRelay.handles(headers)) {
          relay = new EventRelay(answer);
        }
        answer.head(event.status, headers);
        return;
      }
      case 'data':
        if (relay) relay.read(event.bytes);
        else answer.part(event.bytes);
        return;
      case 'ended':
        if (relay && !relay.complete()) {
          fail();
          return;
        }
        answer.end();
        onOutcome({ _tag: 'answered' });
        return;
      case 'broken':
        fail();
        return;
      default:
        event satisfies never;
    }
  };
  answer.identify(id);
  const call = exchange(
    pool,
    {
      address: `http://${callerAddress}`,
      method: request.method,
      path: request.path,
      headers: forwardedHeaders(request, id),
      body: request.body.length > 0 ? request.body : undefined,
      fresh: false,
      silenceMs: undefined,
    },
    onEvent,
  );
  answer.onLeave(() => {
    call.abort();
    onOutcome({ _tag: 'answered' });
  });
};

/**
 * Makes a forwarder. Its connections close with the scope.
 *
 * @param options - times and the clock
 * @returns the forwarder
 */
export const makeForwarder = (
  options: ForwarderOptions,
): Effect.Effect<Forwarder, never, Scope.Scope> =>
  makeConnectionPool({
    connectTimeoutMs: options.timing.connectTimeoutMs,
    connectionTrustMs: options.timing.connectionTrustMs,
    now: options.now,
  }).pipe(
    Effect.map((pool) => ({
      forward: (callerAddress, request, id, answer, onOutcome) =>
        forward(pool, callerAddress, request, id, answer, onOutcome),
    })),
  );
