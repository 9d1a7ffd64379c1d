import * as http from 'node:http';
import type * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type { ListenAddress } from '../../state/gateway/index.ts';
import { listenAt } from './listenAt.ts';

/** A small answer to a GET. */
export interface PlainAnswer {
  readonly status: number;
  readonly contentType?: string;
  readonly text?: string;
}

/** Answers a target, or says nothing where there is no such thing. */
export type PlainHandler = (url: URL) => PlainAnswer | Promise<PlainAnswer> | undefined;

const MALFORMED: PlainAnswer = { status: 400 };
const NOT_FOUND: PlainAnswer = { status: 404 };
const FAILED: PlainAnswer = { status: 500 };
/** Makes the target of a request a whole URL. */
const BASE = 'http://localhost';

const respond = (
  response: http.ServerResponse,
  { status, contentType = 'text/plain', text = '' }: PlainAnswer,
): void => {
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};

/**
 * Starts a server for small questions: readiness, addresses, metrics. It closes with the scope.
 *
 * @param address - where to listen
 * @param handle - gives the answers
 * @param onProblem - told of an address that can't be had, and of questions that can't be answered
 * @returns `IP:PORT` that it is bound to
 */
export const makePlainServer = (
  address: ListenAddress,
  handle: PlainHandler,
  onProblem: (detail: string) => void,
): Effect.Effect<string, never, Scope.Scope> => {
  const server = http.createServer((incoming, response) => {
    incoming.resume();
    const { method, url: target = '/' } = incoming;
    // A target such as `//` is one to Node's parser, but not to URL.
    if (!URL.canParse(target, BASE)) {
      respond(response, MALFORMED);
      return;
    }
    const url = new URL(target, BASE);
    const answerQuestion = async (): Promise<PlainAnswer> =>
      (method === 'GET' ? await handle(url) : undefined) ?? NOT_FOUND;
    answerQuestion().then(
      (answer) => respond(response, answer),
      (error: Error) => {
        onProblem(`${url.pathname}: ${error.message}`);
        respond(response, FAILED);
      },
    );
  });
  return listenAt(server, address, onProblem);
};
