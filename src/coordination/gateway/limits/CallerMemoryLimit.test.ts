import { describe, it } from 'node:test';
import { expect } from 'earl';
import { CallerMemoryLimit } from './CallerMemoryLimit.ts';

const KB = 1_024;
const LIMIT = 1_000 * KB;

const start = () => {
  const memory = new CallerMemoryLimit(LIMIT);
  const yielded: string[] = [];
  const open = (name: string, bytes: number, at = 0) => {
    const holding = memory.open(at, () => yielded.push(name));
    holding.resize(bytes, at);
    return holding;
  };
  return { memory, yielded, open };
};

describe('CallerMemoryLimit', () => {
  // Guards against an ordinary request that is refused while others hold much memory for long.
  it('gives up what has held much for long, not what comes next', () => {
    const { memory, yielded, open } = start();
    open('old', 400 * KB, 0);
    open('young', 340 * KB, 900);
    open('next', 100 * KB, 1_000);
    expect(yielded).toEqual(['old']);
    expect(memory.bytes).toEqual(440 * KB);
  });

  it('never gives up a request that an endpoint may run', () => {
    const { yielded, open } = start();
    open('running', 700 * KB, 0).settle();
    open('arriving', 100 * KB, 10);
    expect(yielded).toEqual(['arriving']);
  });

  // Guards against large requests that leave no memory for the small ones beside them.
  it('keeps a part for small requests', () => {
    const { yielded, open } = start();
    ['a', 'b', 'c'].forEach((name) => open(name, 250 * KB, 0).settle());
    open('large', 100 * KB, 1);
    Array.from({ length: 20 }, (_, at) => open(`small ${at}`, 10 * KB, 2));
    expect(yielded).toEqual(['large']);
  });

  it('lets a single request take more than the limit', () => {
    const { memory, yielded, open } = start();
    const single = open('single', 2 * LIMIT);
    expect(yielded).toEqual([]);
    single.release();
    expect(memory.bytes).toEqual(0);
  });

  it('counts nothing of a request that was given up or released', () => {
    const { memory, yielded, open } = start();
    open('kept', 500 * KB, 10);
    const holding = open('old', 600 * KB, 0);
    expect(yielded).toEqual(['old']);
    holding.resize(700 * KB, 20);
    holding.release();
    expect(memory.bytes).toEqual(500 * KB);
    expect(yielded.length).toEqual(1);
  });
});
