import { describe, it } from 'node:test';
import { expect } from 'earl';
import { useGatewayProgram } from '../support/useGatewayProgram.ts';
import { bodyPieces, crowdHead, playCrowd, TEST_TIMEOUT_MS } from './playCrowd.ts';

/** The limit of a head on the users' sites. */
const MAXIMUM_HEADER_BYTES = 16_384;
/** The shortest line there is, of which a head of a given size holds most. */
const LINE = 'c:\r\n';
/** Almost as many as fit. */
const LEGAL_LINES = LINE.repeat(4_000);
const ENDLESS_LINES = LINE.repeat(60_000);
/** The largest limit that a configuration may set, and a smaller one, with almost as many lines as fit. */
const LARGER_HEADS = [
  { limitBytes: 65_536, lines: 16_000 },
  { limitBytes: 40_960, lines: 10_000 },
];
const BODY_BYTES = 5_000;
const CONNECTIONS = 190;

describe('a gateway before clients that keep no limit', () => {
  const paths = useGatewayProgram();
  const maximumHeaderBytes = MAXIMUM_HEADER_BYTES;

  // Guards against the end of the process by the memory of heads of many lines, whose bodies never become whole.
  it(
    'stays within its bounds: heads of a legal length in the shortest lines',
    { timeout: TEST_TIMEOUT_MS },
    async (context) => {
      const crowd = {
        connections: CONNECTIONS,
        returns: 2,
        *pieces() {
          yield crowdHead(`${LEGAL_LINES}Content-Length: ${BODY_BYTES}`);
          yield* bodyPieces(BODY_BYTES - 100, 1_000);
        },
      };
      expect(await playCrowd(context, { ...paths, crowd, maximumHeaderBytes })).toEqual([]);
    },
  );

  // Guards against the end of the process by the memory of heads that are still arriving, which are in no account.
  LARGER_HEADS.forEach(({ limitBytes, lines }) =>
    it(
      `stays within its bounds: heads of ${lines} lines within a limit of ${limitBytes} bytes`,
      { timeout: TEST_TIMEOUT_MS },
      async (context) => {
        const crowd = {
          connections: CONNECTIONS,
          returns: 2,
          *pieces() {
            yield crowdHead(`${LINE.repeat(lines)}Content-Length: ${BODY_BYTES}`);
            yield* bodyPieces(BODY_BYTES - 100, 1_000);
          },
        };
        const play = { ...paths, crowd, maximumHeaderBytes: limitBytes };
        expect(await playCrowd(context, play)).toEqual([]);
      },
    ),
  );

  // Guards against the end of the process by lines beyond the limit, of which Node's parser counts the names and values only.
  it(
    'stays within its bounds: heads of the shortest lines that never end',
    { timeout: TEST_TIMEOUT_MS },
    async (context) => {
      const crowd = {
        connections: CONNECTIONS,
        returns: 2,
        *pieces() {
          yield crowdHead(ENDLESS_LINES).trimEnd();
        },
      };
      expect(await playCrowd(context, { ...paths, crowd, maximumHeaderBytes })).toEqual([]);
    },
  );
});
