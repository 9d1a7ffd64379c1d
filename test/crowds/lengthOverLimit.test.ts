import { describe, it } from 'node:test';
import { expect } from 'earl';
import { useGatewayProgram } from '../support/useGatewayProgram.ts';
import { bodyPieces, crowdHead, playCrowd, TEST_TIMEOUT_MS } from './playCrowd.ts';

describe('a gateway before clients that keep no limit', () => {
  const paths = useGatewayProgram();

  // Guards against the end of the process by the memory of what is sent on after a refusal.
  it(
    'stays within its bounds: a length far over the limit, sent on after 413',
    { timeout: TEST_TIMEOUT_MS },
    async (context) => {
      const crowd = {
        connections: 40,
        returns: 1,
        *pieces() {
          yield crowdHead('Content-Length: 1000000000');
          yield* bodyPieces(32_000_000, 64_000);
        },
      };
      expect(await playCrowd(context, { ...paths, crowd })).toEqual([]);
    },
  );
});
