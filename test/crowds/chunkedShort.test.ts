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

  // Guards against the end of the process by the memory of bodies that never become whole.
  it(
    'stays within its bounds: bodies in large chunks that stop short',
    { timeout: TEST_TIMEOUT_MS },
    async (context) => {
      const crowd = {
        connections: 40,
        returns: 1,
        *pieces() {
          yield crowdHead('Transfer-Encoding: chunked');
          yield* chunkPieces(MAXIMUM_BODY_BYTES - 100, 64_000);
        },
      };
      expect(await playCrowd(context, { ...paths, crowd })).toEqual([]);
    },
  );
});
