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

  // TWICE: an id that is forgotten could come to its connection again.
  it('is full before it would have to forget an id', () => {
    const history = new ConnectionHistory();
    let count = 0;
    while (!history.isFull) {
      history.record(`request-${count}`);
      count += 1;
    }
    expect(Array.from({ length: count }, (_, at) => history.has(`request-${at}`))).toEqual(
      Array.from({ length: count }, () => true),
    );
  });
});
