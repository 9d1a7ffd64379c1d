import type { ServerResponse } from 'node:http';
import { performance } from 'node:perf_hooks';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import * as Effect from 'effect/Effect';
import { expect } from 'earl';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { closedAddress, startInlineServer } from '../../../test/support/inlineServer.ts';
import type { InlineServer, SeenRequest } from '../../../test/support/inlineServer.ts';
import { runScoped } from '../../../test/support/scoped.ts';
import type { CallerCall, CallOutcome } from './Caller.ts';
import { makeCaller } from './makeCaller.ts';

const SEED = 5;
const PATH = '/services/holds';
const NOT_RUN = (code: string, retry: number | null): string =>
  JSON.stringify({
    error: { code, message: '', type: 'not_run_error', outcome: 'not-run', retry_after_ms: retry },
  });
const UNKNOWN = JSON.stringify({
  error: {
    code: 'answer_cut',
    message: '',
    type: 'unknown_outcome_error',
    outcome: 'unknown',
    retry_after_ms: null,
  },
});

const sendNotRun = (response: ServerResponse, code: string, retry: number | null = 10): void => {
  response.writeHead(503, { 'x-outcome': 'not-run' }).end(NOT_RUN(code, retry));
};
const sendStatus = (response: ServerResponse, status: unknown): void => {
  response.end(JSON.stringify(status));
};

/** How the first entry that gets the request and the others behave. */
interface EntryBehaviour {
  /** Gets the request, counted from 1 over all entries. */
  readonly serve: (response: ServerResponse, count: number, request: SeenRequest) => void;
  readonly status?: (response: ServerResponse) => void;
}

interface Fleet {
  readonly outcome: CallOutcome;
  readonly served: readonly SeenRequest[];
}

/** Makes one call against three entries that behave alike. */
const callFleet = async (
  context: TestContext,
  { serve, status }: EntryBehaviour,
  change: Partial<CallerCall> = {},
  deadEntries = 0,
): Promise<Fleet> => {
  const served: SeenRequest[] = [];
  const servers: InlineServer[] = [];
  const dead = await Promise.all(Array.from({ length: deadEntries }, () => closedAddress()));
  const addressOf = (url: string): string => url.replace('http://', '');
  const listEntries = (): unknown => ({
    entries: [...servers.map(({ address }) => address), ...dead].map((address, index) => ({
      address: addressOf(address),
      failureDomain: `domain-${index}`,
      requestIdPrefix: `abcdefg${index}.0_`,
    })),
    keepForMs: 60_000,
  });
  const handle = (request: SeenRequest, response: ServerResponse): void => {
    if (request.url === '/v1/entries') sendStatus(response, listEntries());
    else if (request.url.startsWith('/v1/requests/')) status?.(response);
    else {
      served.push(request);
      serve(response, served.length, request);
    }
  };
  for (let count = 0; count < 3; count += 1) {
    servers.push(await startInlineServer(context, handle));
  }
  const caller = await runScoped(
    context,
    makeCaller({
      seeds: servers.map(({ address }) => addressOf(address)),
      key: 'key',
      now: () => performance.now(),
      generator: xoroshiro128plus(SEED),
    }),
  );
  const outcome = await Effect.runPromise(caller.call({ method: 'POST', path: PATH, ...change }));
  return { outcome, served };
};

interface CallerCase {
  readonly name: string;
  readonly behaviour: EntryBehaviour;
  readonly call?: Partial<CallerCall>;
  readonly sees: string;
  /** Requests that entries got. */
  readonly sent: number;
}

const CASES: readonly CallerCase[] = [
  {
    name: 'answered at once',
    behaviour: { serve: (response) => response.end('held') },
    sees: 'completed',
    sent: 1,
  },
  {
    name: 'not run twice, then answered',
    behaviour: {
      serve: (response, count) =>
        count < 3 ? sendNotRun(response, 'overloaded') : response.end('held'),
    },
    sees: 'completed',
    sent: 3,
  },
  {
    name: 'not run whenever it is tried',
    behaviour: { serve: (response) => sendNotRun(response, 'overloaded') },
    sees: 'notRun overloaded',
    sent: 4,
  },
  {
    name: 'refused as it stands',
    behaviour: { serve: (response) => sendNotRun(response, 'unknown_model', null) },
    sees: 'notRun unknown_model',
    sent: 1,
  },
  {
    name: 'told to come back only after its deadline',
    behaviour: { serve: (response) => sendNotRun(response, 'account_limit', 90_000) },
    call: { deadlineMs: 30_000 },
    sees: 'notRun account_limit',
    sent: 1,
  },
  {
    name: 'told that it may have run',
    behaviour: {
      serve: (response) => response.writeHead(502, { 'x-outcome': 'unknown' }).end(UNKNOWN),
    },
    sees: 'unknown answer_cut',
    sent: 1,
  },
  {
    name: 'idempotent and told that it may have run',
    behaviour: {
      serve: (response, count) => {
        if (count > 1) response.end('held');
        else response.writeHead(502, { 'x-outcome': 'unknown' }).end(UNKNOWN);
      },
    },
    call: { idempotent: true },
    sees: 'completed',
    sent: 2,
  },
  {
    name: 'without an answer, and other entries say that it was not run',
    behaviour: {
      serve: (response, count) => (count > 1 ? response.end('held') : response.destroy()),
      status: (response) =>
        sendStatus(response, {
          _tag: 'ended',
          outcome: { _tag: 'notRun', reason: 'entry_lost', retryAfterMs: 10 },
        }),
    },
    sees: 'completed',
    sent: 2,
  },
  {
    name: 'without an answer, and other entries say that it is unknown',
    behaviour: {
      serve: (response) => response.destroy(),
      status: (response) =>
        sendStatus(response, {
          _tag: 'ended',
          outcome: { _tag: 'unknown', reason: 'entry_lost' },
        }),
    },
    sees: 'unknown entry_lost',
    sent: 1,
  },
  {
    name: 'without an answer, and nobody knows of it until its deadline',
    behaviour: {
      serve: (response) => response.destroy(),
      status: (response) => response.writeHead(404).end(),
    },
    call: { deadlineMs: 300 },
    sees: 'unknown entry_lost',
    sent: 1,
  },
  {
    name: 'sent to a draining entry',
    behaviour: {
      serve: (response, count) =>
        count > 1 ? response.end('held') : sendNotRun(response, 'draining', 60_000),
    },
    call: { deadlineMs: 30_000 },
    sees: 'completed',
    sent: 2,
  },
  {
    name: 'with an id from a list that is too old',
    behaviour: {
      serve: (response, count) =>
        count > 1 ? response.end('held') : sendNotRun(response, 'request_id_expired', null),
    },
    sees: 'completed',
    sent: 2,
  },
  {
    name: 'of an id that came before and completed',
    behaviour: {
      serve: (response) => {
        const error = {
          code: 'request_id_used',
          message: '',
          type: 'invalid_request_error',
          outcome: null,
          retry_after_ms: null,
        };
        response.writeHead(409).end(JSON.stringify({ error }));
      },
      status: (response) =>
        sendStatus(response, {
          _tag: 'ended',
          outcome: { _tag: 'completed', endpoint: 'a', version: 'v1' },
        }),
    },
    call: { id: 'abcdefgh.given' },
    sees: 'unknown answer_lost',
    sent: 1,
  },
  {
    name: 'of a given id and not run',
    behaviour: { serve: (response) => sendNotRun(response, 'overloaded') },
    call: { id: 'abcdefgh.given' },
    sees: 'notRun overloaded',
    sent: 1,
  },
];

CASES.forEach(({ name, behaviour, call, sees, sent }) => {
  test(`a request ${name} ends as ${sees} after ${sent} sent`, async (context) => {
    const { outcome, served } = await callFleet(context, behaviour, call);
    const seen = outcome._tag === 'completed' ? 'completed' : `${outcome._tag} ${outcome.code}`;
    expect([seen, served.length]).toEqual([sees, sent]);
    // No id is ever sent twice, so that no entry can take one for another.
    expect(new Set(served.map(({ headers }) => headers['x-request-id'])).size).toEqual(sent);
  });
});

test('entries that refuse connections are passed over', async (context) => {
  const behaviour: EntryBehaviour = { serve: (response) => response.end('held') };
  const { outcome } = await callFleet(context, behaviour, {}, 2);
  expect(outcome._tag).toEqual('completed');
});

test('a stream that ends without its end mark is asked after and not taken for whole', async (context) => {
  const events: string[] = [];
  const { outcome, served } = await callFleet(
    context,
    {
      serve: (response) =>
        response.writeHead(200, { 'content-type': 'text/event-stream' }).end('data: {}\n\n'),
      status: (response) =>
        sendStatus(response, {
          _tag: 'ended',
          outcome: { _tag: 'unknown', reason: 'answer_cut' },
        }),
    },
    { path: '/v1/chat/completions', onEvent: (data) => events.push(data) },
  );
  expect([outcome._tag, served.length, events]).toEqual(['unknown', 1, ['{}']]);
});

test('without any entry the caller says that the request was not sent', async (context) => {
  const caller = await runScoped(
    context,
    makeCaller({
      seeds: [(await closedAddress()).replace('http://', '')],
      key: 'key',
      now: () => performance.now(),
      generator: xoroshiro128plus(SEED),
    }),
  );
  const outcome = await Effect.runPromise(caller.call({ method: 'GET', path: PATH }));
  expect(outcome._tag === 'notRun' && outcome.code).toEqual('no_entry');
});
