import { describe, it } from 'node:test';
import { expect } from 'earl';
import { useGatewayProgram } from '../support/useGatewayProgram.ts';
import {
  chunkPieces,
  crowdHead,
  MAXIMUM_BODY_BYTES,
  playCrowd,
  TEST_TIMEOUT_MS,
} from './playCrowd.ts';

describe('a gateway before clients that keep no limit', () => {
  const paths = useGatewayProgram();

  // Guards against the end of the process by the memory of bodies that are never idle for long enough to be given up.
  it(
    'stays within its bounds: bodies in large chunks that go on byte by byte',
    { timeout: TEST_TIMEOUT_MS },
    async (context) => {
      const crowd = {
        connections: 40,
        returns: 1,
        *pieces() {
          yield crowdHead('Transfer-Encoding: chunked');
          yield* chunkPieces(MAXIMUM_BODY_BYTES - 1_000, 64_000);
        },
        afterwards: '1\r\nx\r\n',
      };
      expect(await playCrowd(context, { ...paths, crowd })).toEqual([]);
    },
  );
});
