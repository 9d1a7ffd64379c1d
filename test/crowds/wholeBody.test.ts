import { describe, it } from 'node:test';
import { expect } from 'earl';
import { useGatewayProgram } from '../support/useGatewayProgram.ts';
import {
  bodyPieces,
  crowdHead,
  MAXIMUM_BODY_BYTES,
  playCrowd,
  TEST_TIMEOUT_MS,
} from './playCrowd.ts';

describe('a gateway before a client that keeps its limits', () => {
  const paths = useGatewayProgram();

  // Guards against a bound that a single client inside the limits runs into.
  it(
    'serves a whole body of the greatest length',
    { timeout: TEST_TIMEOUT_MS },
    async (context) => {
      const crowd = {
        connections: 1,
        returns: 0,
        *pieces() {
          yield crowdHead(`Content-Length: ${MAXIMUM_BODY_BYTES}`);
          yield* bodyPieces(MAXIMUM_BODY_BYTES, 64_000);
        },
      };
      expect(await playCrowd(context, { ...paths, crowd, isLegal: true })).toEqual([]);
    },
  );
});
