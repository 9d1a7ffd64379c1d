import { describe, it } from 'node:test';
import { expect } from 'earl';
import { answer, type RunnerScript } from '../gateway/startRunner.ts';
import { useGatewayProgram } from '../support/useGatewayProgram.ts';
import { bodyPieces, crowdHead, playCrowd, TEST_TIMEOUT_MS } from './playCrowd.ts';

/** Requests that each client sends without waiting for an answer. */
const REQUESTS = 100;
const BODY_BYTES = 5_000;
/** Time that the endpoint takes for each. */
const SERVICE_MS = 1_200;

const onCrowdRequest: RunnerScript = (request) => {
  setTimeout(() => request.socket.write(answer(request, 'done')), SERVICE_MS);
};

describe('a gateway before clients that keep no limit', () => {
  const paths = useGatewayProgram();

  // Guards against the end of the process by the descriptors of requests that a few clients pipeline.
  it(
    'stays within its bounds: pipelined requests that run at an endpoint',
    { timeout: TEST_TIMEOUT_MS },
    async (context) => {
      const crowd = {
        connections: 10,
        returns: 1,
        *pieces() {
          for (let request = 0; request < REQUESTS; request += 1) {
            yield crowdHead(`Content-Length: ${BODY_BYTES}`);
            yield* bodyPieces(BODY_BYTES, BODY_BYTES);
          }
        },
      };
      expect(await playCrowd(context, { ...paths, crowd, onCrowdRequest })).toEqual([]);
    },
  );
});
