import { describe, it } from 'node:test';
import { expect } from 'earl';
import { useGatewayProgram } from '../support/useGatewayProgram.ts';
import { crowdHead, playCrowd, HANG_TIMEOUT_MS } from './playCrowd.ts';

/** Requests that each client sends without waiting for an answer. */
const REQUESTS = 20_000;
/** Requests in a piece, since a write for each of them would take longer than the requests. */
const IN_PIECE = 100;

describe('a gateway before clients that keep no limit', () => {
  const paths = useGatewayProgram();

  // Guards against turns of the event loop that belong to one connection, and answers that pile up for clients who never read.
  it(
    'stays within its bounds: pipelined requests without a route whose answers are not read',
    { timeout: HANG_TIMEOUT_MS },
    async (context) => {
      const crowd = {
        connections: 60,
        returns: 1,
        ignoresAnswers: true,
        *pieces() {
          for (let sent = 0; sent < REQUESTS; sent += IN_PIECE) {
            yield Array.from({ length: IN_PIECE }, () =>
              crowdHead('Content-Length: 0', '/nowhere'),
            ).join('');
          }
        },
      };
      expect(await playCrowd(context, { ...paths, crowd, enoughAnswers: 20 })).toEqual([]);
    },
  );
});
