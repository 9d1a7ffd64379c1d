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

describe('a gateway before clients that keep no limit', () => {
  const paths = useGatewayProgram();

  // Guards against the end of the process by the memory of bodies that never become whole.
  it(
    'stays within its bounds: bodies of a legal length that stop short',
    { timeout: TEST_TIMEOUT_MS },
    async (context) => {
      const crowd = {
        connections: 40,
        returns: 1,
        *pieces() {
          yield crowdHead(`Content-Length: ${MAXIMUM_BODY_BYTES}`);
          yield* bodyPieces(MAXIMUM_BODY_BYTES - 100, 64_000);
        },
      };
      expect(await playCrowd(context, { ...paths, crowd })).toEqual([]);
    },
  );
});
