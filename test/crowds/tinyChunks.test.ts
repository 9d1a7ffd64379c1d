import { describe, it } from 'node:test';
import { expect } from 'earl';
import { useGatewayProgram } from '../support/useGatewayProgram.ts';
import { chunkPieces, crowdHead, HANG_TIMEOUT_MS, playCrowd } from './playCrowd.ts';

describe('a gateway before clients that keep no limit', () => {
  const paths = useGatewayProgram();

  // Guards against turns of the event loop that belong to one connection for so long that nobody else is answered.
  it(
    'stays within its bounds: bodies in chunks of one byte',
    { timeout: HANG_TIMEOUT_MS },
    async (context) => {
      const crowd = {
        connections: 60,
        returns: 1,
        *pieces() {
          yield crowdHead('Transfer-Encoding: chunked');
          yield* chunkPieces(1_000_000, 1, 10_000);
        },
      };
      expect(await playCrowd(context, { ...paths, crowd, enoughAnswers: 20 })).toEqual([]);
    },
  );
});
