import * as Schema from 'effect/Schema';
import { makeJsonDecoder } from '../makeJsonDecoder.ts';
import type { TokenUsage } from './EndpointClient.ts';
import { VersionState } from './EngineOrder.ts';
import { CacheEvent, LoadReport } from './engineReports.ts';

/** End mark of an engine's event stream. */
export const STREAM_END_MARK = '[DONE]';

const EngineUsage = Schema.Struct({
  prompt_tokens: Schema.Finite,
  completion_tokens: Schema.Finite,
  prompt_tokens_details: Schema.optionalKey(
    Schema.NullOr(Schema.Struct({ cached_tokens: Schema.optionalKey(Schema.Finite) })),
  ),
});

const EngineResponse = Schema.Struct({
  id: Schema.String,
  usage: Schema.optionalKey(Schema.NullOr(EngineUsage)),
});

/** What one chunk or one whole answer of an engine says of itself. */
export type EngineResponseCheck =
  | { readonly _tag: 'own'; readonly usage: TokenUsage | undefined }
  | { readonly _tag: 'crossed'; readonly id: string }
  | { readonly _tag: 'unreadable' };

const decodeResponse = makeJsonDecoder(EngineResponse);

const toTokenUsage = (usage: typeof EngineUsage.Type | null | undefined): TokenUsage | undefined =>
  usage
    ? {
        promptTokens: usage.prompt_tokens,
        cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
        outputTokens: usage.completion_tokens,
      }
    : undefined;

/**
 * Reads whose a whole answer is, and what it cost where it says so.
 *
 * @param text - JSON as the engine sent it
 * @param requestId - id of the request that the answer should be for
 * @returns whether it is the request's own
 */
export const checkWholeResponse = (text: string, requestId: string): EngineResponseCheck => {
  const response = decodeResponse(text);
  if (!response) return { _tag: 'unreadable' };
  return response.id === requestId
    ? { _tag: 'own', usage: toTokenUsage(response.usage) }
    : { _tag: 'crossed', id: response.id };
};

/**
 * Reads whose one event of a stream is. Only events that could bring usage are parsed: parsing
 * each token's event would cost the most of a stream.
 *
 * @param text - JSON as the engine sent it
 * @param requestId - id of the request that the answer should be for
 * @returns whether it is the request's own
 */
export const checkStreamEvent = (text: string, requestId: string): EngineResponseCheck =>
  text.startsWith(`{"id":"${requestId}",`) && !text.includes('"usage":{')
    ? { _tag: 'own', usage: undefined }
    : checkWholeResponse(text, requestId);

/** Reads a load report; undefined where it is unreadable. */
export const decodeLoadReport = makeJsonDecoder(LoadReport);

/** Reads a batch of cache events; undefined where it is unreadable. */
export const decodeCacheEvents = makeJsonDecoder(
  Schema.Struct({ events: Schema.Array(CacheEvent) }),
);

/** Reads the states of an engine's versions; undefined where they are unreadable. */
export const decodeVersions = makeJsonDecoder(
  Schema.Struct({ versions: Schema.Array(VersionState) }),
);

/** Reads the newer fencing number of an engine that refused an order; undefined where unreadable. */
export const decodeFencing = makeJsonDecoder(Schema.Struct({ fencing: Schema.Int }));
