import type { TestContext } from 'node:test';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import * as Scope from 'effect/Scope';
import type {
  CallerResponse,
  CallerRequest,
  CallerService,
} from '../../src/protocol/caller/CallerService.ts';
import { Limits } from '../../src/state/EntrySettings.ts';
import { makeCallerServer } from '../../src/transport/caller/makeCallerServer.ts';
import { runScoped } from './scoped.ts';

/** Secret that allows draining. */
export const SECRET = 'a secret of the peers';
/** Id that the fake service knows as waiting. */
export const ID = 'abcdefgh.1';
/** One event of a model's stream. */
export const CHUNK = `{"id":"${ID}","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"snow"}}]}`;

/** A caller server over a fake service, closed with the test. */
export interface CallerFixture {
  readonly address: string;
  /** Requests that reached the service. */
  readonly served: CallerRequest[];
  readonly drains: () => number;
}

/** Starts a caller server whose model and plain-service requests one function answers. */
export const startCallerServer = async (
  context: TestContext,
  serve: (request: CallerRequest, answer: CallerResponse) => void = (_request, answer) => {
    answer.sendHead(200, {});
    answer.end();
  },
  limits: Partial<Limits> = {},
  scope: Scope.Scope | undefined = undefined,
): Promise<CallerFixture> => {
  const served: CallerRequest[] = [];
  let drains = 0;
  const service: CallerService = {
    listEntries: () => ({
      entries: [{ address: '127.0.0.1:1', failureDomain: 'a', requestIdPrefix: 'abcdefgh' }],
      keepForMs: 5_000,
    }),
    serve: (request, answer) => {
      served.push(request);
      answer.setRequestId(request.id ?? 'abcdefgh.minted');
      serve(request, answer);
    },
    findStatus: async (id) => (id === ID ? { _tag: 'waiting' } : undefined),
    isReady: () => true,
    renderMetrics: async () => 'up 1\n',
    listModels: (key) => (key === 'key' ? ['small'] : undefined),
    drain: () => {
      drains += 1;
    },
  };
  const server = makeCallerServer({
    address: '127.0.0.1:0',
    limits: Schema.decodeUnknownSync(Limits)(limits),
    service,
    drainSecret: SECRET,
  });
  const address = await (scope === undefined
    ? runScoped(context, server)
    : Effect.runPromise(Scope.provide(server, scope)));
  return { address, served, drains: () => drains };
};
