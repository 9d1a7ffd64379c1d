import type * as http from 'node:http';
import * as net from 'node:net';
import { test } from 'node:test';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import * as Scope from 'effect/Scope';
import { expect } from 'earl';
import type { CallerResponse } from '../../protocol/caller/CallerService.ts';
import type { EntryLimits } from '../../state/EntrySettings.ts';
import { CHUNK, ID, SECRET, startCallerServer } from '../../../test/support/callerServer.ts';
import { callHttp } from '../../../test/support/callHttp.ts';
import { captureServers } from '../../../test/support/captureServers.ts';
import { until } from '../../../test/support/scoped.ts';

/** Sends bytes as they are and gives all that comes back until the connection closes. */
const sendRaw = (address: string, text: string, end: boolean): Promise<string> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const socket = net.connect({ host, port: Number(port), allowHalfOpen: true });
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString();
    });
    socket.on('end', () => socket.end());
    socket.on('error', () => {});
    socket.on('close', () => resolve(received));
    if (end) socket.end(text);
    else socket.write(text);
  });

const post = (headers: string, body: string, path = '/services/holds'): string =>
  `POST ${path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: ${body.length}\r\n${headers}\r\n${body}`;

interface InputFault {
  readonly name: string;
  readonly text: string;
  readonly status: number;
  readonly code: string;
  readonly limits?: Partial<EntryLimits>;
  /** Whether the caller closes its side after the text. */
  readonly halfClose?: boolean;
}

const INPUT_FAULTS: readonly InputFault[] = [
  {
    name: 'a body over the limit',
    text: post('', 'x'.repeat(100)),
    status: 413,
    code: 'body_too_large',
    limits: { maximumBodyBytes: 99 },
  },
  {
    name: 'a chunked body over the limit',
    text: `POST /services/holds HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n64\r\n${'x'.repeat(100)}\r\n0\r\n\r\n`,
    status: 413,
    code: 'body_too_large',
    limits: { maximumBodyBytes: 99 },
  },
  {
    name: 'headers over the size limit',
    text: post(`X-Long: ${'x'.repeat(2_000)}\r\n`, ''),
    status: 431,
    code: 'headers_too_large',
    limits: { maximumHeaderBytes: 1_024 },
  },
  {
    name: 'more headers than allowed',
    text: post('X-One: 1\r\n'.repeat(20), ''),
    status: 431,
    code: 'too_many_headers',
    limits: { maximumHeaderCount: 16 },
  },
  {
    name: 'a body that does not come',
    text: 'POST /services/holds HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nfour',
    status: 408,
    code: 'receive_timeout',
    limits: { receiveTimeoutMs: 100 },
  },
  {
    name: 'a head that does not come',
    text: 'POST /services/holds HT',
    status: 408,
    code: 'receive_timeout',
    limits: { receiveTimeoutMs: 100 },
  },
  {
    name: 'a connection half-closed within the body',
    text: 'POST /services/holds HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nfour',
    status: 400,
    code: 'malformed_request',
    halfClose: true,
  },
  {
    name: 'bytes that are not HTTP',
    text: '\u0016\u0003\u0001 hello\r\n\r\n',
    status: 400,
    code: 'malformed_request',
  },
  ...['0', '-5', '1.5', 'soon', '99999999999'].map((value) => ({
    name: `the deadline ${value}`,
    text: post(`X-Deadline-Ms: ${value}\r\n`, ''),
    status: 400,
    code: 'malformed_deadline',
  })),
  ...['no-dot', 'UPPERCASE.1', 'abcdefgh.', 'abcdefgh.a/b'].map((value) => ({
    name: `the request id ${value}`,
    text: post(`X-Request-Id: ${value}\r\n`, ''),
    status: 400,
    code: 'malformed_request_id',
  })),
  {
    name: 'an X-Idempotent that is neither true nor false',
    text: post('X-Idempotent: maybe\r\n', ''),
    status: 400,
    code: 'malformed_idempotent',
  },
  {
    name: 'a path that does not exist',
    text: post('', '', '/v2/x'),
    status: 404,
    code: 'unknown_path',
  },
  ...['/services/holds/../x', '/services/holds/%2E%2e/x', '/services/holds/.'].map((path) => ({
    name: `the path ${path}, which leaves its prefix`,
    text: post('', '', path),
    status: 404,
    code: 'unknown_path',
  })),
  {
    name: 'a method that the path does not take',
    text: post('', '', '/v1/entries'),
    status: 405,
    code: 'method_not_allowed',
  },
  {
    name: 'a drain without the secret',
    text: post('Authorization: Bearer key\r\n', '', '/v1/drain'),
    status: 401,
    code: 'unknown_key',
  },
];

INPUT_FAULTS.forEach(({ name, text, status, code, limits, halfClose }) => {
  test(`${name} is answered ${status} ${code} and reaches no service`, async (context) => {
    const { address, served, drains } = await startCallerServer(context, undefined, limits);
    const received = await sendRaw(address, text, halfClose ?? false);
    expect(received).toMatchRegex(new RegExp(`^HTTP/1.1 ${status} `));
    expect(received).toMatchRegex(new RegExp(`"code":"${code}"`));
    expect(received.toLowerCase()).toMatchRegex(/x-outcome: not-run/);
    expect(served).toEqual([]);
    expect(drains()).toEqual(0);
  });
});

// A caller that leaves sends the same FIN as one that half-closes; work for one that left would be wasted.
test('a caller that half-closes counts as having left', async (context) => {
  let left = false;
  const { address } = await startCallerServer(context, (_request, answer) => {
    answer.onDisconnect(() => {
      left = true;
    });
  });
  expect(await sendRaw(address, post('', 'x'), true)).toEqual('');
  await until(() => left);
});

test('connections over the limit are told that they were not run', async (context) => {
  const { address, served } = await startCallerServer(context, undefined, {
    maximumConnections: 1,
  });
  const [host, port] = address.split(':');
  const holder = net.connect({ host, port: Number(port) });
  context.after(() => holder.destroy());
  await new Promise((resolve) => {
    holder.once('connect', resolve);
  });
  const received = await sendRaw(address, post('', ''), false);
  expect(received).toMatchRegex(/^HTTP\/1.1 503 /);
  expect(received).toMatchRegex(/"code":"overloaded"/);
  expect(served).toEqual([]);
});

test('a plain-service request keeps method, path, body and headers, but no key and no hop-by-hop header', async (context) => {
  const { address, served } = await startCallerServer(context);
  await callHttp(
    `http://${address}/services/holds/42?x=1`,
    {
      method: 'PUT',
      headers: {
        authorization: 'Bearer key',
        'x-request-id': ID,
        'x-deadline-ms': '700',
        'x-idempotent': 'false',
        'x-own': 'kept',
        te: 'trailers',
      },
    },
    'slot',
  );
  const [request] = served;
  expect(
    request && { ...request, body: Buffer.from(request.body).toString(), headers: {} },
  ).toEqual({
    id: ID,
    accountKey: 'key',
    method: 'PUT',
    path: '/services/holds/42?x=1',
    headers: {},
    body: 'slot',
    remainingMs: 700,
    idempotent: false,
    forwarded: false,
  });
  const names = Object.keys(request?.headers ?? {});
  expect(names.includes('x-own')).toEqual(true);
  expect(names.filter((name) => ['authorization', 'te', 'connection'].includes(name))).toEqual([]);
});

interface EndCase {
  readonly name: string;
  readonly tell: (answer: CallerResponse) => void;
  readonly status: number;
  readonly outcome: string;
  readonly retryAfter: string | undefined;
  readonly code: string;
}

const ENDS: readonly EndCase[] = [
  {
    name: 'not run for overload',
    tell: (answer) => answer.sendNotRun('overloaded', 1_200),
    status: 503,
    outcome: 'not-run',
    retryAfter: '2',
    code: 'overloaded',
  },
  {
    name: 'not run for the account limit',
    tell: (answer) => answer.sendNotRun('account_limit', 300),
    status: 429,
    outcome: 'not-run',
    retryAfter: '1',
    code: 'account_limit',
  },
  {
    name: 'not run for the deadline',
    tell: (answer) => answer.sendNotRun('deadline_passed', 0),
    status: 504,
    outcome: 'not-run',
    retryAfter: '1',
    code: 'deadline_passed',
  },
  {
    name: 'unknown',
    tell: (answer) => answer.sendUnknownOutcome('entry_lost'),
    status: 502,
    outcome: 'unknown',
    retryAfter: undefined,
    code: 'entry_lost',
  },
  {
    name: 'unknown at the deadline',
    tell: (answer) => answer.sendUnknownOutcome('deadline_passed'),
    status: 504,
    outcome: 'unknown',
    retryAfter: undefined,
    code: 'deadline_passed',
  },
  {
    name: 'cut before its head',
    tell: (answer) => answer.abort('endpoint_failed'),
    status: 502,
    outcome: 'unknown',
    retryAfter: undefined,
    code: 'endpoint_failed',
  },
];

ENDS.forEach(({ name, tell, status, outcome, retryAfter, code }) => {
  test(`an answer that ends as ${name} says so in status, headers and body`, async (context) => {
    const { address } = await startCallerServer(context, (_request, answer) => tell(answer));
    const response = await callHttp(`http://${address}/services/x`, {
      headers: { 'x-request-id': ID },
    });
    expect(response.status).toEqual(status);
    expect(response.headers['x-outcome']).toEqual(outcome);
    expect(response.headers['retry-after']).toEqual(retryAfter);
    expect(response.headers['x-request-id']).toEqual(ID);
    const body = JSON.parse(response.body) as { error: { code: string; outcome: string } };
    expect(body.error.code).toEqual(code);
    expect(body.error.outcome).toEqual(outcome);
  });
});

test('a stream that is cut shows its outcome and never an end', async (context) => {
  const { address } = await startCallerServer(context, (_request, answer) => {
    answer.sendHead(200, { 'content-type': 'text/event-stream' });
    answer.sendEvent(CHUNK, 1);
    answer.abort('answer_cut');
    answer.end();
  });
  const received = await sendRaw(address, post('', '{}', '/v1/chat/completions'), false);
  expect(received).toMatchRegex(/event: error\ndata: {"error":{"code":"answer_cut"/);
  expect(received.includes('[DONE]')).toEqual(false);
  expect(received.endsWith('0\r\n\r\n')).toEqual(false);
});

// Guards against a broken answer that looks whole to a caller who knows no chunks.
test('an answer that is cut resets the connection of a caller of HTTP/1.0', async (context) => {
  const { address } = await startCallerServer(context, (_request, answer) => {
    answer.sendHead(200, {});
    answer.sendPart(Buffer.from('four'));
    setTimeout(() => answer.abort('answer_cut'), 20);
  });
  const [host, port] = address.split(':');
  const ends: string[] = [];
  const socket = net.connect({ host, port: Number(port) });
  socket.on('data', () => {});
  socket.on('end', () => ends.push('end'));
  socket.on('error', (error: NodeJS.ErrnoException) => ends.push(error.code ?? ''));
  socket.write('GET /services/x HTTP/1.0\r\nHost: x\r\n\r\n');
  await until(() => socket.destroyed);
  expect(ends).toEqual(['ECONNRESET']);
});

test('a whole answer that is cut is never as long as its head says', async (context) => {
  const { address } = await startCallerServer(context, (_request, answer) => {
    answer.sendHead(200, { 'content-length': '9' });
    answer.sendPart(Buffer.from('four'));
    answer.abort('answer_cut');
  });
  await expect(callHttp(`http://${address}/services/x`)).toBeRejected();
});

test('a caller that leaves is told to the service once', async (context) => {
  let leaves = 0;
  const { address, served } = await startCallerServer(context, (_request, answer) => {
    answer.onDisconnect(() => {
      leaves += 1;
    });
  });
  const abort = new AbortController();
  const response = callHttp(`http://${address}/services/x`, { signal: abort.signal });
  await until(() => served.length === 1);
  abort.abort();
  await expect(response).toBeRejected();
  await until(() => leaves === 1);
});

test('a caller that does not read is cut once too much waits for it', async (context) => {
  let left = false;
  const { address } = await startCallerServer(context, (_request, answer) => {
    answer.sendHead(200, {});
    answer.onDisconnect(() => {
      left = true;
    });
    const part = Buffer.alloc(1024 * 1024);
    const timer = setInterval(() => answer.sendPart(part), 1);
    context.after(() => clearInterval(timer));
  });
  const [host, port] = address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  socket.on('error', () => {});
  socket.pause();
  socket.write(post('', ''));
  context.after(() => socket.destroy());
  await until(() => left);
});

test('the paths for operators answer', async (context) => {
  const { address, drains } = await startCallerServer(context);
  const get = async (path: string, options?: http.RequestOptions): Promise<number> =>
    (await callHttp(`http://${address}${path}`, options)).status;
  expect(await get('/healthz')).toEqual(200);
  expect(await get('/readyz')).toEqual(200);
  expect(await get('/metrics')).toEqual(200);
  expect(await get('/v1/entries')).toEqual(200);
  expect(await get(`/v1/requests/${ID}`)).toEqual(200);
  expect(await get('/v1/requests/abcdefgh.2')).toEqual(404);
  const authorization = `Bearer ${SECRET}`;
  expect(await get('/v1/drain', { method: 'POST', headers: { authorization } })).toEqual(202);
  expect(drains()).toEqual(1);
});

test('an answer that was ended reaches a slow reader also while the server closes', async (context) => {
  const size = 8 * 1024 * 1024;
  const scope = Scope.makeUnsafe();
  let ended = false;
  const { address } = await startCallerServer(
    context,
    (_request, answer) => {
      answer.sendHead(200, { 'content-length': `${size}` });
      answer.sendPart(Buffer.alloc(size));
      answer.end();
      ended = true;
    },
    {},
    scope,
  );
  const [host, port] = address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  socket.pause();
  socket.write(post('', ''));
  await until(() => ended);
  const closed = Effect.runPromise(Scope.close(scope, Exit.void));
  let received = 0;
  socket.on('data', (bytes) => {
    received += bytes.length;
  });
  socket.resume();
  await closed;
  await until(() => socket.closed);
  expect(received > size).toEqual(true);
});

// FAULT: the second connection that couldn't be accepted ended the process.
test('a server for callers goes on after connections that it could not accept', async (context) => {
  const servers = captureServers(context);
  await startCallerServer(context);
  expect(servers.length).toEqual(1);
  for (let error = 0; error < 3; error += 1) servers[0]?.emit('error', new Error('accept EMFILE'));
});
