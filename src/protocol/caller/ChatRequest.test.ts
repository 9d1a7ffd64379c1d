import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { decodeChatRequest } from './ChatRequest.ts';
import { hashPromptPrefixes, TOKENS_PER_PREFIX } from '../engine/promptPrefixes.ts';

const SEED = 20_261_203;

const decode = (value: unknown): ReturnType<typeof decodeChatRequest> =>
  decodeChatRequest(Buffer.from(JSON.stringify(value)));

test('a chat request gives model, form, prompt length and output limit', () => {
  const outcome = decode({
    model: 'summary',
    messages: [{ role: 'user', content: 'how deep' }],
    stream: true,
    max_tokens: 7,
    max_completion_tokens: 5,
    temperature: 0.2,
  });
  expect(outcome._tag === 'decoded' && { ...outcome.chat, promptText: '' }).toEqual({
    model: 'summary',
    stream: true,
    promptText: '',
    promptTokens: 10,
    maximumOutputTokens: 5,
  });
});

[
  '',
  '{',
  'null',
  '[]',
  '{"messages":[{"role":"user"}]}',
  '{"model":"","messages":[{"role":"user"}]}',
  '{"model":"m","messages":[]}',
  '{"model":"m","messages":"hi"}',
  '{"model":"m","messages":[{"role":"user"}],"max_tokens":0}',
  '{"model":"m","messages":[{"role":"user"}],"max_tokens":1.5}',
  '{"model":"m","messages":[{"role":"user"}],"stream":"yes"}',
].forEach((body) => {
  test(`the body ${body || 'of no bytes'} is told as malformed`, () => {
    expect(decodeChatRequest(Buffer.from(body))._tag).toEqual('malformed');
  });
});

test('any bytes or JSON decode or are told as malformed, without throwing', () => {
  fc.assert(
    fc.property(
      fc.oneof(
        fc.uint8Array(),
        fc.json().map((text) => Buffer.from(text)),
      ),
      (body) => {
        decodeChatRequest(body);
      },
    ),
    { seed: SEED, numRuns: 1_000 },
  );
});

test('two prompts share the prefixes of their common beginning and no other', () => {
  fc.assert(
    fc.property(
      fc.nat({ max: 40 }),
      fc.string({ minLength: 1, maxLength: 300 }),
      (blocks, tail) => {
        const common = 'x'.repeat(blocks * TOKENS_PER_PREFIX * 4);
        const [one, other] = [
          hashPromptPrefixes(`${common}a${tail}`),
          hashPromptPrefixes(`${common}b${tail}`),
        ];
        const shared = one.filter((prefix, index) => other[index] === prefix).length;
        expect(shared).toEqual(Math.min(blocks, 32));
      },
    ),
    { seed: SEED, numRuns: 200 },
  );
});
