import {
  estimateTokens,
  hashPromptPrefixes,
  serializeMessages,
} from '../../../src/protocol/engine/promptPrefixes.ts';

const DEFAULT_OUTPUT_TOKENS = 64;

/** What an engine makes of a request's body. */
export interface Prompt {
  readonly tokens: number;
  readonly outputTokens: number;
  readonly streamed: boolean;
  readonly route: string | undefined;
  readonly prefixes: readonly string[];
}

interface ChatBody {
  readonly messages?: unknown;
  readonly max_tokens?: number;
  readonly max_completion_tokens?: number;
  readonly stream?: boolean;
  readonly metadata?: { readonly route?: string };
}

/**
 * Reads a chat request as far as a stand-in needs it.
 *
 * @param body - the request's body as text
 * @returns its sizes and prefixes, or undefined where it isn't a chat request
 */
export const promptOf = (body: string): Prompt | undefined => {
  try {
    const chat: ChatBody = JSON.parse(body);
    const text = serializeMessages(chat.messages ?? []);
    return {
      tokens: Math.max(1, estimateTokens(text)),
      outputTokens: chat.max_tokens ?? chat.max_completion_tokens ?? DEFAULT_OUTPUT_TOKENS,
      streamed: chat.stream === true,
      route: chat.metadata?.route,
      prefixes: hashPromptPrefixes(text),
    };
  } catch {
    return undefined;
  }
};
