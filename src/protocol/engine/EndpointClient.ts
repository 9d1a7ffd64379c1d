import type * as Effect from 'effect/Effect';
import type { CacheEvent, LoadReport } from './engineReports.ts';
import type { EngineOrder, OrderOutcome, VersionState } from './EngineOrder.ts';

/** Whether an endpoint responds with one body or with a stream of server-sent events. */
export type ResponseForm = 'whole' | 'events';

/** A request as it is sent to an endpoint. */
export interface EndpointRequest {
  readonly id: string;
  /** `http://IP:PORT` of the endpoint. */
  readonly address: string;
  readonly version: string;
  readonly method: string;
  readonly path: string;
  /** Headers to forward, without hop-by-hop headers. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly responseForm: ResponseForm;
  /** A non-idempotent request isn't sent on a connection that was idle for longer than `connectionTrustMs`. */
  readonly idempotent: boolean;
  /** Whether the endpoint is a model engine, which echoes the request id, marks the end of a stream and can resume it. */
  readonly engine: boolean;
  /** Whether the request may still be sent; asked right before it is written. If not, it is `refused`. */
  readonly mayWrite?: (() => boolean) | undefined;
}

/** An event of a request at an endpoint. The last event is exactly one of `ended`, `failed` and `refused`. */
export type EndpointEvent =
  /** No byte of the request reached the endpoint, so the request may be sent to another one. */
  | { readonly _tag: 'refused'; readonly detail: string }
  | {
      readonly _tag: 'head';
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
    }
  /** A part of the body of a response that isn't a stream. */
  | { readonly _tag: 'part'; readonly bytes: Uint8Array }
  /** One server-sent event of a stream; events are in order and without gaps, also across resumes. */
  | { readonly _tag: 'event'; readonly data: string; readonly index: number }
  /** The stream was resumed on a new connection after the event with this index. */
  | { readonly _tag: 'resumed'; readonly afterIndex: number }
  /** The response is complete. If it came from an engine, it carried the request's id and, for a stream, the end mark. */
  | { readonly _tag: 'ended'; readonly usage: TokenUsage | undefined }
  | {
      readonly _tag: 'failed';
      readonly reason: 'endpoint_failed' | 'answer_cut' | 'answer_crossed';
      readonly detail: string;
    };

/** Token counts that an engine reports for a request. */
export interface TokenUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
}

/** A running request at an endpoint. */
export interface EndpointCall {
  /** Cancels the request; an engine stops generating. No event follows. */
  readonly cancel: () => void;
  /** Frees the engine's slot but keeps the generated tokens for a later `resume`. Engines only. */
  readonly suspend: () => void;
  /** Resumes a suspended stream on a new connection. Engines only. */
  readonly resume: () => void;
}

/** Client of endpoints. All methods other than `call` are for engines only. */
export interface EndpointClient {
  /** Sends a request and reports its events. */
  readonly call: (
    request: EndpointRequest,
    onEvent: (event: EndpointEvent) => void,
  ) => EndpointCall;
  /** Fetches an engine's load report; undefined if the engine can't be reached or its response is invalid. */
  readonly load: (address: string) => Effect.Effect<LoadReport | undefined>;
  /** Fetches the cache events after a sequence number; undefined as for `load`. */
  readonly cacheEvents: (
    address: string,
    afterSequence: number,
  ) => Effect.Effect<readonly CacheEvent[] | undefined>;
  /** Sends an order to an engine. */
  readonly order: (address: string, order: EngineOrder) => Effect.Effect<OrderOutcome>;
  /** Fetches the states of an engine's versions; undefined as for `load`. */
  readonly versions: (address: string) => Effect.Effect<readonly VersionState[] | undefined>;
}
