import { describe, it } from 'node:test';
import { expect } from 'earl';
import { answer, type RunnerScript } from '../gateway/startRunner.ts';
import { useGatewayProgram } from '../support/useGatewayProgram.ts';
import { bodyPieces, crowdHead, playCrowd, TEST_TIMEOUT_MS } from './playCrowd.ts';

/** Bodies that each client sends. */
const BODIES = 3;
const BODY_BYTES = 1_000_000;
/** Time that the endpoint takes for each. */
const SERVICE_MS = 1_200;

const onCrowdRequest: RunnerScript = (request) => {
  setTimeout(() => request.socket.write(answer(request, 'done')), SERVICE_MS);
};

describe('a gateway before clients that keep no limit', () => {
  const paths = useGatewayProgram();

  // Guards against the end of the process by the memory of bodies that wait for an endpoint.
  it(
    'stays within its bounds: whole bodies one after another before a slow endpoint',
    { timeout: TEST_TIMEOUT_MS },
    async (context) => {
      const crowd = {
        connections: 60,
        returns: 1,
        *pieces() {
          for (let request = 0; request < BODIES; request += 1) {
            yield crowdHead(`Content-Length: ${BODY_BYTES}`);
            yield* bodyPieces(BODY_BYTES, 64_000);
          }
        },
      };
      expect(await playCrowd(context, { ...paths, crowd, onCrowdRequest })).toEqual([]);
    },
  );
});
