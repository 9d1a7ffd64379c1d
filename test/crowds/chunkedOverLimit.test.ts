import { describe, it } from 'node:test';
import { expect } from 'earl';
import { useGatewayProgram } from '../support/useGatewayProgram.ts';
import { chunkPieces, crowdHead, playCrowd, TEST_TIMEOUT_MS } from './playCrowd.ts';

describe('a gateway before clients that keep no limit', () => {
  const paths = useGatewayProgram();

  // Guards against the end of the process by the memory of what is sent on after a refusal.
  it(
    'stays within its bounds: chunked bodies far over the limit',
    { timeout: TEST_TIMEOUT_MS },
    async (context) => {
      const crowd = {
        connections: 40,
        returns: 1,
        *pieces() {
          yield crowdHead('Transfer-Encoding: chunked');
          yield* chunkPieces(32_000_000, 64_000);
        },
      };
      expect(await playCrowd(context, { ...paths, crowd })).toEqual([]);
    },
  );
});
