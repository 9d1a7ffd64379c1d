import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallerError, CallerService } from '../../protocol/caller/CallerService.ts';
import { notRunBody, refusalBody } from '../../protocol/caller/ErrorBody.ts';
import type { Limits } from '../../state/EntrySettings.ts';
import { HttpAnswer, writeError } from './HttpAnswer.ts';
import { readCallerHead, readKey } from './readCallerHead.ts';
import { receiveBody } from './receiveBody.ts';
import { routeCallerPath } from './routeCallerPath.ts';

/** What a caller-facing handler is made of. */
export interface CallerHandlerOptions {
  readonly limits: Limits;
  readonly service: CallerService;
  /** Bearer secret that allows draining. */
  readonly drainSecret: string;
}

/** Time for a caller to take in a refusal of a body that it is still sending. */
const REFUSED_BODY_LINGER_MS = 1_000;
const OVERLOAD_RETRY_MS = 1_000;

const TOO_LARGE: CallerError = {
  status: 413,
  code: 'body_too_large',
  message: 'The body is over the size that this entry takes.',
};
const TOO_MANY_HEADERS: CallerError = {
  status: 431,
  code: 'too_many_headers',
  message: 'The request has more headers than this entry takes.',
};
const NOT_FOUND: CallerError = {
  status: 404,
  code: 'unknown_path',
  message: 'No such path. Models are at /v1/chat/completions, plain services below /services/.',
};
const WRONG_METHOD: CallerError = {
  status: 405,
  code: 'method_not_allowed',
  message: 'The path does not take this method.',
};
const UNAUTHORIZED: CallerError = {
  status: 401,
  code: 'unknown_key',
  message: 'The account key is missing or unknown.',
};
const UNKNOWN_REQUEST: CallerError = {
  status: 404,
  code: 'unknown_request',
  outcomeOmitted: true,
  message: 'Nothing is known of a request of this id.',
};

const refuse = (response: ServerResponse, error: CallerError): void =>
  writeError(response, error.status, refusalBody(error));

const writeJson = (response: ServerResponse, status: number, value: unknown): void => {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};

const writeText = (response: ServerResponse, status: number, text: string): void => {
  response.writeHead(status, { 'content-type': 'text/plain; charset=utf-8' });
  response.end(text);
};

const digest = (secret: string): Buffer => createHash('sha256').update(secret).digest();

/** Answers callers' requests from a service. */
export class CallerHandler {
  readonly #options: CallerHandlerOptions;

  constructor(options: CallerHandlerOptions) {
    this.#options = options;
  }

  /**
   * Answers one request.
   *
   * @param request - the request
   * @param response - where the answer goes
   * @param overConnectionLimit - whether the connection is one too many
   */
  handle(request: IncomingMessage, response: ServerResponse, overConnectionLimit: boolean): void {
    const { limits, service } = this.#options;
    if (request.rawHeaders.length / 2 > limits.maximumHeaderCount) {
      response.setHeader('connection', 'close');
      refuse(response, TOO_MANY_HEADERS);
      return;
    }
    if (overConnectionLimit) {
      response.setHeader('connection', 'close');
      writeError(response, 503, notRunBody('overloaded', OVERLOAD_RETRY_MS));
      return;
    }
    // Callers on open connections are to look for another entry.
    if (!service.isReady()) response.setHeader('connection', 'close');
    const route = routeCallerPath(request.method ?? '', request.url ?? '');
    switch (route._tag) {
      case 'chat':
      case 'service':
        this.#serve(request, response, route._tag === 'chat');
        return;
      case 'entries':
        writeJson(response, 200, service.listEntries());
        return;
      case 'models':
        this.#tellModels(request, response);
        return;
      case 'status':
        this.#tellStatus(route.id, request, response);
        return;
      case 'health':
        writeText(response, 200, 'ok\n');
        return;
      case 'ready':
        writeText(
          response,
          service.isReady() ? 200 : 503,
          service.isReady() ? 'ready\n' : 'not ready\n',
        );
        return;
      case 'metrics':
        this.#tellMetrics(response);
        return;
      case 'drain':
        this.#drain(request, response);
        return;
      case 'wrongMethod':
        refuse(response, WRONG_METHOD);
        return;
      case 'unknown':
        refuse(response, NOT_FOUND);
        return;
      default:
        route satisfies never;
    }
  }

  #serve(request: IncomingMessage, response: ServerResponse, chat: boolean): void {
    const { limits, service } = this.#options;
    const outcome = readCallerHead(request, limits);
    if (outcome._tag === 'malformed') {
      refuse(response, outcome.error);
      return;
    }
    receiveBody(request, limits.maximumBodyBytes, (received) => {
      switch (received._tag) {
        case 'received': {
          const answer = new HttpAnswer(response, chat);
          if (outcome.head.id !== undefined) answer.setRequestId(outcome.head.id);
          service.serve({ ...outcome.head, body: received.body }, answer);
          return;
        }
        case 'tooLarge':
          CallerHandler.#refuseBody(request, response);
          return;
        case 'left':
          response.destroy();
          return;
        default:
          received satisfies never;
      }
    });
  }

  static #refuseBody(request: IncomingMessage, response: ServerResponse): void {
    response.setHeader('connection', 'close');
    const text = JSON.stringify(refusalBody(TOO_LARGE));
    response.writeHead(TOO_LARGE.status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      'x-outcome': 'not-run',
    });
    // Closing at once would reset the connection under a caller that is still sending, and lose the answer.
    response.write(text);
    request.resume();
    const timer = setTimeout(() => response.end(), REFUSED_BODY_LINGER_MS);
    request.once('end', () => response.end());
    response.once('close', () => clearTimeout(timer));
  }

  #tellModels(request: IncomingMessage, response: ServerResponse): void {
    const models = this.#options.service.listModels(readKey(request));
    if (!models) {
      refuse(response, UNAUTHORIZED);
      return;
    }
    const data = models.map((id) => ({
      id,
      object: 'model',
      created: 0,
      owned_by: 'corianderwick',
    }));
    writeJson(response, 200, { object: 'list', data });
  }

  #tellStatus(id: string, request: IncomingMessage, response: ServerResponse): void {
    this.#options.service.findStatus(id, readKey(request)).then(
      (status) => {
        if (status) writeJson(response, 200, status);
        else refuse(response, UNKNOWN_REQUEST);
      },
      () => response.destroy(),
    );
  }

  #tellMetrics(response: ServerResponse): void {
    this.#options.service.renderMetrics().then(
      (text) => writeText(response, 200, text),
      () => response.destroy(),
    );
  }

  #drain(request: IncomingMessage, response: ServerResponse): void {
    const { drainSecret, service } = this.#options;
    // Digests have the same length, which the comparison in constant time needs.
    if (!timingSafeEqual(digest(readKey(request)), digest(drainSecret))) {
      refuse(response, UNAUTHORIZED);
      return;
    }
    service.drain();
    writeJson(response, 202, { draining: true });
  }
}
