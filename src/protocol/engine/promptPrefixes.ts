import { createHash } from 'node:crypto';

const CHARACTERS_PER_TOKEN = 4;
const TOKENS_PER_BLOCK = 64;
const CHARACTERS_PER_BLOCK = TOKENS_PER_BLOCK * CHARACTERS_PER_TOKEN;
const MAXIMUM_PREFIXES = 32;
const HASH_CHARACTERS = 16;

/** Tokens of prompt that each further prefix hash stands for. */
export const TOKENS_PER_PREFIX = TOKENS_PER_BLOCK;

/**
 * Gives the text that a prompt's length and prefixes are taken of.
 *
 * @param messages - the messages of a chat request as parsed
 * @returns text that two prompts share as far as their messages are the same
 */
export const serializeMessages = (messages: unknown): string => JSON.stringify(messages) ?? '';

/**
 * Estimates the tokens of a text without a tokenizer.
 *
 * @param text - any text
 * @returns tokens
 */
export const estimateTokens = (text: string): number =>
  Math.ceil(text.length / CHARACTERS_PER_TOKEN);

/**
 * Hashes the growing prefixes of a prompt, one for each full block of tokens. Engines name the
 * same hashes in their cache events.
 *
 * @param text - the prompt's text
 * @returns hashes in hex, shortest prefix first, at most 32
 */
export const hashPromptPrefixes = (text: string): readonly string[] => {
  const blocks = Math.min(MAXIMUM_PREFIXES, Math.floor(text.length / CHARACTERS_PER_BLOCK));
  const hash = createHash('sha256');
  return Array.from({ length: blocks }, (_, block) => {
    const start = block * CHARACTERS_PER_BLOCK;
    hash.update(text.slice(start, start + CHARACTERS_PER_BLOCK));
    return hash.copy().digest('hex').slice(0, HASH_CHARACTERS);
  });
};
