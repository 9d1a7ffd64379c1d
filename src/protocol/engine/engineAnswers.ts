import * as Schema from 'effect/Schema';
import { decodeJson } from '../decodeJson.ts';
import type { TokenUsage } from './EndpointClient.ts';
import { VersionState } from './EngineOrder.ts';
import { CacheEvent, LoadReport } from './LoadReport.ts';

/** End mark of an engine's event stream. */
export const END_MARK = '[DONE]';

const EngineUsage = Schema.Struct({
  prompt_tokens: Schema.Finite,
  completion_tokens: Schema.Finite,
  prompt_tokens_details: Schema.optionalKey(
    Schema.NullOr(Schema.Struct({ cached_tokens: Schema.optionalKey(Schema.Finite) })),
  ),
});

const EngineAnswer = Schema.Struct({
  id: Schema.String,
  usage: Schema.optionalKey(Schema.NullOr(EngineUsage)),
});

/** What one chunk or one whole answer of an engine says of itself. */
export type EngineAnswerSummary =
  | { readonly _tag: 'own'; readonly usage: TokenUsage | undefined }
  | { readonly _tag: 'crossed'; readonly id: string }
  | { readonly _tag: 'unreadable' };

const decodeAnswer = decodeJson(EngineAnswer);

const usageOf = (usage: typeof EngineUsage.Type | null | undefined): TokenUsage | undefined =>
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
export const summarizeWhole = (text: string, requestId: string): EngineAnswerSummary => {
  const answer = decodeAnswer(text);
  if (!answer) return { _tag: 'unreadable' };
  return answer.id === requestId
    ? { _tag: 'own', usage: usageOf(answer.usage) }
    : { _tag: 'crossed', id: answer.id };
};

/**
 * Reads whose one event of a stream is. Only events that could bring usage are parsed: parsing
 * each token's event would cost the most of a stream.
 *
 * @param text - JSON as the engine sent it
 * @param requestId - id of the request that the answer should be for
 * @returns whether it is the request's own
 */
export const summarizeEvent = (text: string, requestId: string): EngineAnswerSummary =>
  text.startsWith(`{"id":"${requestId}",`) && !text.includes('"usage":{')
    ? { _tag: 'own', usage: undefined }
    : summarizeWhole(text, requestId);

/** Reads a load report; undefined where it is unreadable. */
export const decodeLoadReport = decodeJson(LoadReport);

/** Reads a batch of cache events; undefined where it is unreadable. */
export const decodeCacheEvents = decodeJson(Schema.Struct({ events: Schema.Array(CacheEvent) }));

/** Reads the states of an engine's versions; undefined where they are unreadable. */
export const decodeVersions = decodeJson(Schema.Struct({ versions: Schema.Array(VersionState) }));

/** Reads the newer fencing number of an engine that refused an order; undefined where unreadable. */
export const decodeFencing = decodeJson(Schema.Struct({ fencing: Schema.Int }));
