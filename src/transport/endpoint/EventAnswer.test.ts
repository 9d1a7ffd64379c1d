import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { AnswerFinding } from './AnswerFinding.ts';
import { EventAnswer } from './EventAnswer.ts';

const SEED = 20_261_203;
const ID = 'abcdefgh.0_a';

const chunk = (index: number, text: string): string =>
  `id: ${index}\ndata: ${JSON.stringify({ id: ID, choices: [{ delta: { content: text } }] })}\n\n`;

/** Reads bytes in the given pieces; gives what was told and where it came to. */
const readPieces = (
  pieces: readonly Uint8Array[],
): { readonly told: readonly string[]; readonly finding: AnswerFinding } => {
  const told: string[] = [];
  const answer = new EventAnswer(ID, (data, index) => told.push(`${index} ${data}`));
  const findings = pieces.map((piece) => answer.read(piece));
  return { told, finding: findings.at(-1) ?? { _tag: 'more' } };
};

const split = (bytes: Uint8Array, cuts: readonly number[]): readonly Uint8Array[] => {
  const places = [0, ...cuts.map((cut) => cut % bytes.length).sort((a, b) => a - b), bytes.length];
  return places.slice(1).map((end, index) => bytes.subarray(places[index], end));
};

test('a stream is told alike however its bytes are split, also within a character', () => {
  fc.assert(
    fc.property(
      fc.array(fc.string({ unit: 'grapheme', maxLength: 20 }), { minLength: 1, maxLength: 8 }),
      fc.array(fc.nat(), { maxLength: 12 }),
      (texts, cuts) => {
        const events = texts.map((text, index) => chunk(index + 1, text)).join('');
        const bytes = Buffer.from(`${events}data: [DONE]\n\n`);
        expect(readPieces(split(bytes, cuts))).toEqual(readPieces([bytes]));
        expect(readPieces([bytes]).told.length).toEqual(texts.length);
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
});

test('a stream that is cut anywhere, repeated from the start and then whole is told once and in order', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 8 }), fc.nat(), (count, place) => {
      const events = Array.from({ length: count }, (_, index) => chunk(index + 1, 'é')).join('');
      const bytes = Buffer.from(`${events}data: [DONE]\n\n`);
      const indices: number[] = [];
      const answer = new EventAnswer(ID, (_data, index) => indices.push(index));
      answer.read(bytes.subarray(0, place % bytes.length));
      answer.restart();
      expect(answer.read(bytes)._tag).toEqual('ended');
      expect(indices).toEqual(Array.from({ length: count }, (_, index) => index + 1));
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test('any bytes in place of a stream neither throw nor are told as events of the request', () => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 200 }), { maxLength: 10 }), (pieces) => {
      expect(readPieces(pieces).told).toEqual([]);
    }),
    { seed: SEED, numRuns: 1_000 },
  );
});

test('an event without an end is given up once it is too large', () => {
  const answer = new EventAnswer(ID, () => {});
  const piece = Buffer.from(`data: ${'x'.repeat(300_000)}`);
  const findings = Array.from({ length: 8 }, () => answer.read(piece)._tag);
  expect(findings.at(-1)).toEqual('failed');
});
