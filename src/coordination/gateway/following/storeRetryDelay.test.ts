import { describe, it } from 'node:test';
import { expect } from 'earl';
import { storeRetryDelay } from './storeRetryDelay.ts';

/** Counts the calls of one process to an unavailable store within a time. */
const callsWithin = (ms: number, hasDependents: boolean): number => {
  let calls = 0;
  for (let at = 0; at < ms; at += storeRetryDelay(calls, hasDependents, 0.5)) calls += 1;
  return calls;
};

describe('storeRetryDelay', () => {
  it('calls an unavailable store far less often if no other process relies on the calls', () => {
    expect(callsWithin(10_000, true)).toBeGreaterThan(30);
    expect(callsWithin(10_000, false)).toBeLessThan(18);
  });

  it('starts with the same short delays for watchers and other processes', () => {
    expect(storeRetryDelay(0, false, 1)).toEqual(storeRetryDelay(0, true, 1));
    expect(callsWithin(500, false)).toEqual(callsWithin(500, true));
  });
});
