import { describe, it } from 'node:test';
import { expect } from 'earl';
import { answer, type RunnerScript } from '../gateway/startRunner.ts';
import { useGatewayProgram } from '../support/useGatewayProgram.ts';
import { crowdHead, MAXIMUM_BODY_BYTES, playCrowd, TEST_TIMEOUT_MS } from './playCrowd.ts';

const ANSWER = 'x'.repeat(MAXIMUM_BODY_BYTES);

const onCrowdRequest: RunnerScript = (request) => {
  request.socket.write(answer(request, ANSWER), 'latin1');
};

describe('a gateway before clients that keep no limit', () => {
  const paths = useGatewayProgram();

  // Guards against the end of the process by the memory of answers that their callers do not read.
  it(
    'stays within its bounds: large answers that are not read',
    { timeout: TEST_TIMEOUT_MS },
    async (context) => {
      const crowd = {
        connections: 40,
        returns: 1,
        ignoresAnswers: true,
        *pieces() {
          yield crowdHead('Content-Length: 0');
        },
      };
      expect(await playCrowd(context, { ...paths, crowd, onCrowdRequest })).toEqual([]);
    },
  );
});
