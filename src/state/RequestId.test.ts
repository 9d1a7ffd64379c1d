import { test } from 'node:test';
import { expect } from 'earl';
import { owningIncarnation, makeRequestId } from './RequestId.ts';

test('a request id names the incarnation that minted it', () => {
  expect(owningIncarnation(makeRequestId('k3v9x2ab', 'a-1'))).toEqual('k3v9x2ab');
});
