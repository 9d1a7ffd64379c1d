import { test } from 'node:test';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { expect } from 'earl';
import fc from 'fast-check';
import { Packr } from 'msgpackr';
import { decodePeerMessage, encodePeerMessage, MAXIMUM_MESSAGE_BYTES } from './peerCodec.ts';
import type { PeerMessage } from './PeerMessage.ts';

const SEED = 20_261_203;
const RUNS = 2_000;
const MEGABYTE = 1024 * 1024;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const liveBytes = (): number => {
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
};

const MESSAGES: readonly PeerMessage[] = [
  { _tag: 'withdraw', ids: ['abcdefgh.1'] },
  { _tag: 'pull', rollNumber: 3 },
  { _tag: 'statusReply', question: 1, id: 'abcdefgh.1', status: { _tag: 'waiting' } },
  { _tag: 'refused', id: 'abcdefgh.1', reason: 'overloaded', retryAfterMs: 12.5 },
];

test('an encoded message decodes to the same message and sender', () => {
  MESSAGES.forEach((message) => {
    const bytes = encodePeerMessage('abcdefgh', message);
    expect(bytes && decodePeerMessage(bytes)).toEqual({ version: 1, from: 'abcdefgh', message });
  });
});

test('decoding arbitrary bytes neither throws nor leaks memory', () => {
  const before = liveBytes();
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 4_096 }), (bytes) => {
      decodePeerMessage(bytes);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  expect(liveBytes() - before < 16 * MEGABYTE).toEqual(true);
});

test('decoding a corrupted or truncated message never throws, and returns a message or undefined', () => {
  fc.assert(
    fc.property(
      fc.constantFrom(...MESSAGES),
      fc.nat(),
      fc.integer({ min: 0, max: 255 }),
      fc.boolean(),
      (message, position, value, truncated) => {
        const bytes = Buffer.from(encodePeerMessage('abcdefgh', message) ?? []);
        const index = position % bytes.length;
        bytes[index] = value;
        const decoded = decodePeerMessage(truncated ? bytes.subarray(0, index) : bytes);
        return decoded === undefined || typeof decoded.message._tag === 'string';
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
});

test('MessagePack headers that claim far more data than follows are rejected without allocating it', () => {
  const claims = [
    [0xdd, 0xff, 0xff, 0xff, 0xff],
    [0xdf, 0xff, 0xff, 0xff, 0xff],
    [0xdb, 0xff, 0xff, 0xff, 0xff],
    [0xc6, 0xff, 0xff, 0xff, 0xff],
    [0xc9, 0xff, 0xff, 0xff, 0xff, 0x74],
    Array.from({ length: 60_000 }, () => 0x91),
  ];
  claims.forEach((claim) => expect(decodePeerMessage(Uint8Array.from(claim))).toEqual(undefined));
});

test('a message of another protocol version, of an unknown kind, without a sender or above the size limit is rejected', () => {
  const pack = (value: unknown): Buffer => new Packr({ useRecords: false }).pack(value);
  const message = { _tag: 'pull', rollNumber: 3 };
  expect(decodePeerMessage(pack({ version: 2, from: 'a', message }))).toEqual(undefined);
  expect(decodePeerMessage(pack({ version: 1, from: 'a', message: { _tag: 'x' } }))).toEqual(
    undefined,
  );
  expect(decodePeerMessage(pack({ version: 1, from: '', message }))).toEqual(undefined);
  expect(decodePeerMessage(Buffer.alloc(MAXIMUM_MESSAGE_BYTES + 1))).toEqual(undefined);
  const ids = [`a.${'x'.repeat(MAXIMUM_MESSAGE_BYTES)}`];
  expect(encodePeerMessage('abcdefgh', { _tag: 'withdraw', ids })).toEqual(undefined);
});
