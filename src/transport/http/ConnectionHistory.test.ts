import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ConnectionHistory } from './ConnectionHistory.ts';

describe('ConnectionHistory', () => {
  it('tells what a connection had carried before a request', () => {
    const history = new ConnectionHistory();
    expect(history.record('a')).toEqual({ earlierRequests: 0, isRepeated: false });
    expect(history.record('b')).toEqual({ earlierRequests: 1, isRepeated: false });
    expect(history.record('a')).toEqual({ earlierRequests: 2, isRepeated: true });
    expect(history.has('b')).toEqual(true);
    expect(history.has('c')).toEqual(false);
  });

  it('takes requests without an id for different ones', () => {
    const history = new ConnectionHistory();
    history.record(undefined);
    expect(history.record(undefined)).toEqual({ earlierRequests: 1, isRepeated: false });
  });

  const fill = (lengthOfId: number): number => {
    const history = new ConnectionHistory();
    let count = 0;
    while (!history.isFull && count < 1_000) {
      history.record(`${count}`.padEnd(lengthOfId, '-'));
      count += 1;
    }
    return count;
  };

  it('is full after 128 requests', () => {
    expect([fill(16), fill(36)]).toEqual([128, 128]);
  });

  // Guards against the memory that callers take who choose long ids.
  it('is full after few requests with long ids', () => {
    expect([fill(4_096), fill(16_000)]).toEqual([2, 1]);
  });
});
