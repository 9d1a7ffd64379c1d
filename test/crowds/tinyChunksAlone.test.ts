import { describe, it } from 'node:test';
import { expect } from 'earl';
import { useGatewayProgram } from '../support/useGatewayProgram.ts';
import { chunkPieces, crowdHead, playCrowd, TEST_TIMEOUT_MS } from './playCrowd.ts';

/** Its chunks keep the gateway busy for about a second. */
const BODY_BYTES = 300_000;

describe('a gateway before a client that keeps its limits', () => {
  const paths = useGatewayProgram();

  // Guards against a refusal of small chunks, which a single client inside the limits may send.
  it(
    'serves a body of the greatest length in chunks of one byte',
    { timeout: TEST_TIMEOUT_MS },
    async (context) => {
      const crowd = {
        connections: 1,
        returns: 0,
        *pieces() {
          yield crowdHead('Transfer-Encoding: chunked');
          yield* chunkPieces(BODY_BYTES, 1, 10_000);
          yield '0\r\n\r\n';
        },
      };
      expect(
        await playCrowd(context, { ...paths, crowd, isLegal: true, maximumBodyBytes: BODY_BYTES }),
      ).toEqual([]);
    },
  );
});
