/* eslint-disable import-x/extensions, import-x/prefer-default-export -- scripts run by Node without a loader */
// A sound runner as PROTOCOL.md describes it.
import http from 'node:http';
import { listen, now, readBody, sleep } from './sockets.mjs';

const HEADERS = {
  id: 'x-corianderwick-request-id',
  stamp: 'x-corianderwick-server-stamp',
  instance: 'x-corianderwick-instance-id',
  expected: 'x-corianderwick-expect-instance',
  notRun: 'x-corianderwick-not-executed',
  tenant: 'x-corianderwick-tenant',
};
const STATUS_OTHER_INSTANCE = 421;
const MEMORY_TOKENS = 700_000;

/** What a runner writes of itself. */
const specOf = ({ service, version = 'v1', zone, slots }, address) => ({
  service,
  address,
  zone,
  version,
  slots,
  state: 'ready',
  cold_remaining_ms: 0,
  seq: 1,
  born: Date.now(),
});

/** What a model runner reports; plain ones are not asked. */
const reportOf = ({ running }) => ({
  stage: 'unified',
  models: [{ name: 'm', version: 1, adapters: [] }],
  busy: false,
  seq: 1,
  queued: 0,
  running,
  kv_used: 0,
  kv_total: MEMORY_TOKENS,
  handles: 0,
});

/**
 * Starts a runner on a free port.
 *
 * @param options - `isStream`: whether it answers with an event of a stream; `isBad` tells, by the number of requests that it
 *   is running, whether an answer is a failure
 */
export const startRunner = async (options) => {
  const { id, workMs, record, isStream = false, isBad = () => false } = options;
  const runner = { id, arrivals: [], runs: [], badAnswers: [], running: 0 };

  const answerQuestion = (response) => {
    const text = JSON.stringify(reportOf(runner));
    response.writeHead(200, { [HEADERS.instance]: id, 'content-type': 'application/json' });
    response.end(text);
  };
  const turnAway = (request, response, status) => {
    record({ what: 'turned away', id: request.headers[HEADERS.id], runner: id, status });
    response.writeHead(status, {
      [HEADERS.id]: request.headers[HEADERS.id],
      [HEADERS.notRun]: '1',
      'content-length': 0,
    });
    response.end();
  };
  const run = async (request, response, body) => {
    const requestId = request.headers[HEADERS.id];
    runner.runs.push({
      at: now(),
      id: requestId,
      tenant: request.headers[HEADERS.tenant],
      headers: request.headers,
      body: body.toString('latin1'),
    });
    record({ what: 'runs', id: requestId, runner: id, tenant: request.headers[HEADERS.tenant] });
    runner.running += 1;
    const status = isBad(runner.running) ? 500 : 200;
    await sleep(workMs);
    runner.running -= 1;
    if (response.destroyed) return;
    if (status !== 200) {
      runner.badAnswers.push(now());
      record({ what: 'bad answer', id: requestId, runner: id });
    }
    const text = isStream ? 'id: 1\ndata: token\n\n' : `answer to ${requestId}`;
    response.writeHead(status, {
      [HEADERS.id]: requestId,
      [HEADERS.stamp]: `stamp-${id}`,
      'content-length': text.length,
      ...(isStream && { 'content-type': 'text/event-stream' }),
    });
    response.end(text);
  };

  const server = http.createServer(async (request, response) => {
    if (request.url === '/healthz' || request.url === '/api/report') {
      answerQuestion(response);
      return;
    }
    const body = await readBody(request);
    if (body === undefined) return;
    const requestId = request.headers[HEADERS.id];
    runner.arrivals.push({ at: now(), id: requestId });
    record({ what: 'arrives', id: requestId, runner: id });
    if (request.headers[HEADERS.expected] !== id)
      turnAway(request, response, STATUS_OTHER_INSTANCE);
    else await run(request, response, body);
  });
  // More header lines than Node takes by itself, so that nothing that arrives is left out here.
  server.maxHeadersCount = 0;
  server.keepAliveTimeout = 20_000;
  const port = await listen(server, '127.0.0.1');
  runner.spec = specOf(options, `127.0.0.1:${port}`);
  runner.close = () => {
    server.closeAllConnections();
    server.close();
  };
  return runner;
};
