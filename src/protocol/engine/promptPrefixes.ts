import { createHash } from 'node:crypto';

const CHARACTERS_PER_TOKEN = 4;
const TOKENS_PER_BLOCK = 64;
const CHARACTERS_PER_BLOCK = TOKENS_PER_BLOCK * CHARACTERS_PER_TOKEN;
const MAXIMUM_PREFIXES = 32;
const PREFIX_HASH_CHARACTERS = 16;

/** Tokens that each hashed prefix has more than the next shorter one. */
export const TOKENS_PER_PREFIX = TOKENS_PER_BLOCK;

/**
 * Serializes the messages of a chat request, for the length estimate and the prefix hashes.
 *
 * @param messages - the parsed `messages` field of a chat request
 * @returns text that two prompts have in common as far as their messages are equal
 */
export const serializeMessages = (messages: unknown): string => JSON.stringify(messages) ?? '';

/**
 * Estimates the tokens of a text without a tokenizer.
 *
 * @param text - any text
 * @returns estimated length in tokens
 */
export const estimateTokens = (text: string): number =>
  Math.ceil(text.length / CHARACTERS_PER_TOKEN);

/**
 * Hashes the prefixes of a prompt at each full block of tokens. Engines report the same hashes in
 * their cache events.
 *
 * @param text - the prompt as `serializeMessages` returns it
 * @returns hex hashes, shortest prefix first, at most 32
 */
export const hashPromptPrefixes = (text: string): readonly string[] => {
  const blocks = Math.min(MAXIMUM_PREFIXES, Math.floor(text.length / CHARACTERS_PER_BLOCK));
  const hash = createHash('sha256');
  return Array.from({ length: blocks }, (_, block) => {
    const start = block * CHARACTERS_PER_BLOCK;
    hash.update(text.slice(start, start + CHARACTERS_PER_BLOCK));
    return hash.copy().digest('hex').slice(0, PREFIX_HASH_CHARACTERS);
  });
};
