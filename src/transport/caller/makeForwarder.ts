import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type { CallerResponse, CallerRequest } from '../../protocol/caller/CallerService.ts';
import {
  filterResponseHeaders,
  DEADLINE_HEADER,
  FORWARDED_HEADER,
  IDEMPOTENT_HEADER,
  REQUEST_ID_HEADER,
} from '../../protocol/caller/headers.ts';
import type { UnknownOutcomeReason } from '../../state/RequestOutcome.ts';
import type { EntryTiming } from '../../state/EntrySettings.ts';
import { exchange, makeConnectionPool } from '../http/index.ts';
import type { ConnectionPool, Exchange, ExchangeEvent } from '../http/index.ts';
import { EventRelay } from './EventRelay.ts';

/** What became of passing a request on. */
export type ForwardOutcome =
  /** The home's answer was passed on, whole or cut. */
  | { readonly _tag: 'answered' }
  /** The home surely got nothing of the request; nothing was told to the caller. */
  | { readonly _tag: 'unreachable'; readonly detail: string };

/** A request that is being passed on. */
export interface Forwarding {
  /**
   * Stops waiting for a home that is believed dead.
   *
   * @returns true where nothing was told to the caller yet, who is then the process's to answer
   */
  readonly abandon: () => boolean;
}

/** Passes callers' requests to the entry that owns them. */
export interface Forwarder {
  /**
   * @param callerAddress - the home's `IP:PORT` for callers
   * @param request - the request as it came
   * @param id - its id
   * @param answer - where the home's answer goes
   * @param onOutcome - told at most once; never after a true `abandon`
   * @returns a handle for the time that it takes
   */
  readonly forward: (
    callerAddress: string,
    request: CallerRequest,
    id: string,
    answer: CallerResponse,
    onOutcome: (outcome: ForwardOutcome) => void,
  ) => Forwarding;
}

/** What a forwarder is made of. */
export interface ForwarderOptions {
  readonly timing: EntryTiming;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

/** Time beyond the deadline for the home's own last word. */
const DEADLINE_GRACE_MS = 1_000;

const forwardedHeaders = (request: CallerRequest, id: string): Record<string, string> => ({
  ...request.headers,
  authorization: `Bearer ${request.accountKey}`,
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
  answer: CallerResponse,
  onOutcome: (outcome: ForwardOutcome) => void,
): Forwarding => {
  let relay: EventRelay | undefined;
  let lateness: NodeJS.Timeout | undefined;
  let settled = false;
  let call: Exchange | undefined;
  const settle = (outcome: ForwardOutcome): void => {
    if (settled) return;
    settled = true;
    clearTimeout(lateness);
    onOutcome(outcome);
  };
  const fail = (reason: UnknownOutcomeReason): void => {
    if (answer.isHeadSent()) answer.abort(reason);
    else answer.sendUnknownOutcome(reason);
    settle({ _tag: 'answered' });
  };
  const onEvent = (event: ExchangeEvent): void => {
    switch (event._tag) {
      case 'written':
        return;
      case 'refused':
        settle({ _tag: 'unreachable', detail: event.detail });
        return;
      case 'head': {
        const headers = filterResponseHeaders(event.headers);
        if (request.path.startsWith('/v1/') && EventRelay.handles(headers)) {
          relay = new EventRelay(answer);
        }
        answer.sendHead(event.status, headers);
        return;
      }
      case 'data':
        if (relay) relay.read(event.bytes);
        else answer.sendPart(event.bytes);
        if (relay?.broken()) {
          call?.abort();
          settle({ _tag: 'answered' });
        }
        return;
      case 'ended':
        if (relay && !relay.complete()) {
          fail('entry_lost');
          return;
        }
        answer.end();
        settle({ _tag: 'answered' });
        return;
      case 'broken':
        fail('entry_lost');
        return;
      default:
        event satisfies never;
    }
  };
  answer.setRequestId(id);
  call = exchange(
    pool,
    {
      address: `http://${callerAddress}`,
      id,
      method: request.method,
      path: request.path,
      headers: forwardedHeaders(request, id),
      body: request.body.length > 0 ? request.body : undefined,
      fresh: false,
      silenceMs: undefined,
    },
    onEvent,
  );
  answer.onDisconnect(() => {
    call?.abort();
    settle({ _tag: 'answered' });
  });
  if (request.remainingMs !== undefined) {
    // The home answers by the deadline; one that doesn't is out of reach.
    lateness = setTimeout(() => {
      call?.abort();
      fail('deadline_passed');
    }, request.remainingMs + DEADLINE_GRACE_MS);
  }
  return {
    abandon: () => {
      if (settled || answer.isHeadSent()) return false;
      settled = true;
      clearTimeout(lateness);
      call?.abort();
      return true;
    },
  };
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
