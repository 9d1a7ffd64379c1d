import type * as Effect from 'effect/Effect';
import type { CacheEvent, LoadReport } from './LoadReport.ts';
import type { EngineOrder, OrderOutcome, VersionState } from './EngineOrder.ts';

/** How an endpoint is to answer. */
export type AnswerForm = 'whole' | 'events';

/** One request as it goes to an endpoint. */
export interface EndpointRequest {
  readonly id: string;
  /** `http://IP:PORT` of the endpoint. */
  readonly address: string;
  readonly version: string;
  readonly method: string;
  readonly path: string;
  /** Headers to pass on, hop-by-hop ones already dropped. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly responseForm: AnswerForm;
  /** A connection idle for longer than the trust time isn't used for one that is not idempotent. */
  readonly idempotent: boolean;
  /** Whether the endpoint is an engine: it echoes the request id, marks the end and can resume. */
  readonly engine: boolean;
}

/** What happens to a request at an endpoint, in order; `ended`, `failed` or `refused` comes last and once. */
export type EndpointEvent =
  /** No byte of the request can have reached the endpoint: it may go elsewhere. */
  | { readonly _tag: 'refused'; readonly detail: string }
  | {
      readonly _tag: 'head';
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
    }
  /** A part of a whole answer's body. */
  | { readonly _tag: 'part'; readonly bytes: Uint8Array }
  /** One server-sent event of a stream, in order and without gaps, resumes included. */
  | { readonly _tag: 'event'; readonly data: string; readonly index: number }
  | { readonly _tag: 'resumed'; readonly afterIndex: number }
  /** The answer is whole: its end mark was seen and its id was the request's. */
  | { readonly _tag: 'ended'; readonly usage: TokenUsage | undefined }
  | {
      readonly _tag: 'failed';
      readonly reason: 'endpoint_failed' | 'answer_cut' | 'answer_crossed';
      readonly detail: string;
    };

/** What an engine says that a request cost. */
export interface TokenUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
}

/** A request under way at an endpoint. */
export interface EndpointCall {
  /** Ends the call and tells an engine to stop generating. No event follows. */
  readonly cancel: () => void;
  /** Frees the engine's slot but keeps what was generated, for a later `resume`. Engines only. */
  readonly suspend: () => void;
  /** Takes a suspended stream up again on a new connection. */
  readonly resume: () => void;
}

/** The way to endpoints: requests, and for engines also load, cache events and orders. */
export interface EndpointClient {
  readonly call: (
    request: EndpointRequest,
    onEvent: (event: EndpointEvent) => void,
  ) => EndpointCall;
  readonly load: (address: string) => Effect.Effect<LoadReport | undefined>;
  readonly cacheEvents: (
    address: string,
    afterSequence: number,
  ) => Effect.Effect<readonly CacheEvent[] | undefined>;
  readonly order: (address: string, order: EngineOrder) => Effect.Effect<OrderOutcome>;
  readonly versions: (address: string) => Effect.Effect<readonly VersionState[] | undefined>;
}
