import * as Schema from 'effect/Schema';
import { makeJsonDecoder } from '../makeJsonDecoder.ts';
import type { TokenUsage } from './EndpointClient.ts';
import { VersionState } from './EngineOrder.ts';
import { CacheEvent, LoadReport } from './engineReports.ts';

/** Data of the last event of an engine's stream. */
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

/** Whether a response or stream event of an engine belongs to the request. `crossed` means that it belongs to another. */
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
 * Checks that an engine's complete response belongs to a request, and reads its token usage.
 *
 * @param text - JSON as the engine sent it
 * @param requestId - id of the request
 * @returns whether the response belongs to the request, with the usage if the response has it
 */
export const checkWholeResponse = (text: string, requestId: string): EngineResponseCheck => {
  const response = decodeResponse(text);
  if (!response) return { _tag: 'unreadable' };
  return response.id === requestId
    ? { _tag: 'own', usage: toTokenUsage(response.usage) }
    : { _tag: 'crossed', id: response.id };
};

/**
 * Checks that an event of an engine's stream belongs to a request. Only events that may carry usage
 * are parsed, because parsing every event would be the largest cost of a stream.
 *
 * @param text - JSON as the engine sent it
 * @param requestId - id of the request
 * @returns whether the event belongs to the request, with the usage if the event has it
 */
export const checkStreamEvent = (text: string, requestId: string): EngineResponseCheck =>
  text.startsWith(`{"id":"${requestId}",`) && !text.includes('"usage":{')
    ? { _tag: 'own', usage: undefined }
    : checkWholeResponse(text, requestId);

/** Decodes a load report; undefined if it is invalid. */
export const decodeLoadReport = makeJsonDecoder(LoadReport);

/** Decodes a batch of cache events; undefined if it is invalid. */
export const decodeCacheEvents = makeJsonDecoder(
  Schema.Struct({ events: Schema.Array(CacheEvent) }),
);

/** Decodes the states of an engine's versions; undefined if they are invalid. */
export const decodeVersions = makeJsonDecoder(
  Schema.Struct({ versions: Schema.Array(VersionState) }),
);

/** Decodes the newer fencing number of an engine that refused a stale order; undefined if it is invalid. */
export const decodeFencing = makeJsonDecoder(Schema.Struct({ fencing: Schema.Int }));
