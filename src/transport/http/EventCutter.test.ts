import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { EventCutter } from './EventCutter.ts';

const SEED = 23;

const CASES: readonly {
  readonly name: string;
  readonly text: string;
  readonly complete: string;
  readonly count: number;
  readonly insideEvent: boolean;
}[] = [
  { name: 'nothing', text: '', complete: '', count: 0, insideEvent: false },
  {
    name: 'LF',
    text: 'id: 1\ndata: a\n\n',
    complete: 'id: 1\ndata: a\n\n',
    count: 1,
    insideEvent: false,
  },
  {
    name: 'CR and LF',
    text: 'data: a\r\n\r\ndata: b\r\n',
    complete: 'data: a\r\n\r\n',
    count: 1,
    insideEvent: true,
  },
  { name: 'CR', text: 'data: a\r\rdat', complete: 'data: a\r\r', count: 1, insideEvent: true },
  {
    name: 'a line that has no end',
    text: 'data: a\n\nd',
    complete: 'data: a\n\n',
    count: 1,
    insideEvent: true,
  },
  {
    name: 'an event without its empty line',
    text: 'data: a\n',
    complete: '',
    count: 0,
    insideEvent: true,
  },
  {
    name: 'a comment after the last event',
    text: 'data: a\n\n: ping\n',
    complete: 'data: a\n\n',
    count: 1,
    insideEvent: false,
  },
  {
    name: 'an event that begins with a comment',
    text: ': ping\ndata: a\n',
    complete: '',
    count: 0,
    insideEvent: true,
  },
];

const cut = (parts: readonly Buffer[]) => {
  const cutter = new EventCutter();
  const complete = Buffer.concat(parts.map((part) => cutter.push(part).bytes)).toString();
  return {
    complete,
    whole: complete + cutter.rest().toString(),
    count: cutter.count,
    insideEvent: cutter.isInsideEvent,
  };
};

describe('EventCutter', () => {
  CASES.forEach(({ name, text, ...expected }) =>
    it(`cuts after the last complete event: ${name}`, () => {
      expect(cut([Buffer.from(text)])).toEqual({ ...expected, whole: text });
    }),
  );

  it('gives the same events, and loses nothing, whichever parts the bytes come in', () => {
    const text = fc.string({ unit: fc.constantFrom('\n', '\r', ':', 'd', 'id: 7') });
    fc.assert(
      fc.property(text, fc.array(fc.nat(40)), (whole, cuts) => {
        const bytes = Buffer.from(whole);
        const borders = [0, ...cuts.toSorted((a, b) => a - b), bytes.length];
        const parts = borders.slice(1).map((end, index) => bytes.subarray(borders[index], end));
        const got = cut(parts);
        const { count, insideEvent } = cut([bytes]);
        expect([got.whole, got.count, got.insideEvent]).toEqual([whole, count, insideEvent]);
      }),
      { seed: SEED },
    );
  });

  it('names the id of the last complete event', () => {
    const cutter = new EventCutter();
    expect(cutter.push(Buffer.from('id: 3\r\ndata: a\r\n\r\nid: 4\r\nda')).lastId).toEqual('3');
    expect(cutter.push(Buffer.from('ta: b\r\n')).lastId).toEqual(undefined);
    expect(cutter.push(Buffer.from('\r\n')).lastId).toEqual('4');
  });
});
