import { describe, it } from 'node:test';
import { expect } from 'earl';
import { retryPause } from './storeRetryDelay.ts';

/** Calls to a store that is away, of one process within a time. */
const callsWithin = (ms: number, isReliedOn: boolean): number => {
  let calls = 0;
  for (let at = 0; at < ms; at += retryPause(calls, isReliedOn, 0.5)) calls += 1;
  return calls;
};

describe('retryPause', () => {
  it('asks a store that is away far less often where another process watches it', () => {
    expect(callsWithin(10_000, true)).toBeGreaterThan(30);
    expect(callsWithin(10_000, false)).toBeLessThan(18);
  });

  it('begins soon, for an outage that is short', () => {
    expect(retryPause(0, false, 1)).toEqual(retryPause(0, true, 1));
    expect(callsWithin(500, false)).toEqual(callsWithin(500, true));
  });
});
