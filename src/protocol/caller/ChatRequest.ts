import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import { estimateTokens, serializeMessages } from '../engine/promptPrefixes.ts';

const TokenCount = Schema.Int.check(Schema.isGreaterThan(0));

/** The fields of a chat/completions request that the scheduler reads; all others are forwarded unread. */
export const ChatRequest = Schema.Struct({
  model: Schema.NonEmptyString,
  messages: Schema.NonEmptyArray(Schema.Struct({ role: Schema.NonEmptyString })),
  stream: Schema.optionalKey(Schema.NullOr(Schema.Boolean)),
  max_tokens: Schema.optionalKey(Schema.NullOr(TokenCount)),
  max_completion_tokens: Schema.optionalKey(Schema.NullOr(TokenCount)),
});
export type ChatRequest = typeof ChatRequest.Type;

/** The properties of a chat request that scheduling depends on. The body itself is forwarded unchanged. */
export interface ChatSummary {
  readonly model: string;
  readonly stream: boolean;
  /** Serialized messages, from which the prompt prefixes are hashed. */
  readonly promptText: string;
  /** Estimated prompt length in tokens. */
  readonly promptTokens: number;
  /** Upper limit of generated tokens; undefined if the caller set none. */
  readonly maximumOutputTokens: number | undefined;
}

/** Result of decoding a request body. */
export type ChatDecodeResult =
  | { readonly _tag: 'decoded'; readonly chat: ChatSummary }
  | { readonly _tag: 'malformed'; readonly detail: string };

const decodeRequest = Schema.decodeUnknownResult(ChatRequest);
const utf8 = new TextDecoder('utf-8', { fatal: true });

const parseJson = (body: Uint8Array): Result.Result<unknown, string> => {
  try {
    return Result.succeed(JSON.parse(utf8.decode(body)));
  } catch {
    return Result.fail('the body is not JSON in UTF-8');
  }
};

/**
 * Estimates the length of a prompt from its text.
 *
 * @param messages - the parsed `messages` field of a chat request
 * @returns estimated length in tokens
 */
export const estimatePromptTokens = (messages: unknown): number =>
  estimateTokens(serializeMessages(messages));

/**
 * Decodes the body of a chat/completions request. Never throws.
 *
 * @param body - body as the caller sent it
 * @returns the properties that scheduling depends on, or why the body is malformed
 */
export const decodeChatRequest = (body: Uint8Array): ChatDecodeResult => {
  const json = parseJson(body);
  if (Result.isFailure(json)) return { _tag: 'malformed', detail: json.failure };
  const decoded = decodeRequest(json.success);
  if (Result.isFailure(decoded)) return { _tag: 'malformed', detail: String(decoded.failure) };
  const request = decoded.success;
  // Decoding drops the fields that the schema doesn't name, so the raw messages are serialized.
  const text = serializeMessages((json.success as { messages: unknown }).messages);
  return {
    _tag: 'decoded',
    chat: {
      model: request.model,
      stream: request.stream === true,
      promptText: text,
      promptTokens: estimateTokens(text),
      maximumOutputTokens: request.max_completion_tokens ?? request.max_tokens ?? undefined,
    },
  };
};
