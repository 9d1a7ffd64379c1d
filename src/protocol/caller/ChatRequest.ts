import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import { estimateTokens, serializeMessages } from '../engine/promptPrefixes.ts';

const TokenCount = Schema.Int.check(Schema.isGreaterThan(0));

/** The fields of a chat/completions request that the scheduler reads; all others pass unread. */
export const ChatRequest = Schema.Struct({
  model: Schema.NonEmptyString,
  messages: Schema.NonEmptyArray(Schema.Struct({ role: Schema.NonEmptyString })),
  stream: Schema.optionalKey(Schema.NullOr(Schema.Boolean)),
  max_tokens: Schema.optionalKey(Schema.NullOr(TokenCount)),
  max_completion_tokens: Schema.optionalKey(Schema.NullOr(TokenCount)),
});
export type ChatRequest = typeof ChatRequest.Type;

/** What the scheduler needs of a chat request. The body itself is passed on unchanged. */
export interface ChatSummary {
  readonly model: string;
  readonly stream: boolean;
  /** Text that prompt prefixes are taken of. */
  readonly promptText: string;
  readonly promptTokens: number;
  /** Most tokens that the answer may have, where the caller set a limit. */
  readonly maximumOutputTokens: number | undefined;
}

/** What a body was found to be. */
export type ChatDecoding =
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
 * Estimates the prompt's length from its text.
 *
 * @param messages - the messages of a chat request as parsed
 * @returns tokens
 */
export const estimatePromptTokens = (messages: unknown): number =>
  estimateTokens(serializeMessages(messages));

/**
 * Reads the body of a chat/completions request.
 *
 * @param body - bytes as the caller sent them
 * @returns what the scheduler needs of it, or what is wrong with it
 */
export const decodeChatRequest = (body: Uint8Array): ChatDecoding => {
  const json = parseJson(body);
  if (Result.isFailure(json)) return { _tag: 'malformed', detail: json.failure };
  const decoded = decodeRequest(json.success);
  if (Result.isFailure(decoded)) return { _tag: 'malformed', detail: String(decoded.failure) };
  const request = decoded.success;
  // The decoded messages lack the fields that the schema doesn't name, so the text is taken of the raw ones.
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
