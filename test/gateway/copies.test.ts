import { describe, it, type TestContext } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { expect } from 'earl';
import { call, runnerSpec, startReadyGateway } from './startGateway.ts';
import { answer, chunk, END, event, notRun, startRunner, streamHead } from './startRunner.ts';

const read = (address: string, path: string) => call(address, { path });

/** Refuses a request that comes for the first time, and copies the refusal where it comes to the same connection again. */
const startCopyingRunners = async (
  context: TestContext,
  service: 'plain' | 'model',
  count: number,
  runs: string[],
) => {
  const start = (name: string) => {
    const refusals = new Map<string, Map<unknown, string>>();
    return startRunner(context, (request) => {
      const id = request.headers['x-corianderwick-request-id'] ?? '';
      const refusal = notRun().replace('\r\n', `\r\nX-Corianderwick-Request-Id: ${id}\r\n`);
      const copies = refusals.get(id);
      if (copies === undefined) {
        refusals.set(id, new Map([[request.socket, refusal]]));
        request.socket.write(refusal);
        return;
      }
      runs.push(name);
      const own =
        service === 'plain'
          ? answer(request, 'ran')
          : `${streamHead(request)}${chunk(event(1))}${END}`;
      request.socket.write((copies.get(request.socket) ?? '') + own);
    });
  };
  const names = Array.from({ length: count }, (_, index) => `i-${index + 1}`);
  const runners = await Promise.all(names.map(start));
  const specs = runners.map((runner, index) => [names[index], runnerSpec(service, runner)]);
  return startReadyGateway(context, Object.fromEntries(specs));
};

describe('a gateway whose endpoint answers twice', () => {
  // Guards against an answer that reaches the next caller on the connection, wherever the second copy is cut.
  it('never passes the second copy on to the next caller', async (context) => {
    let copy = '';
    let cut = 0;
    const runner = await startRunner(context, (request) => {
      const own = answer(request, request.line.includes('first') ? 'first' : 'second');
      if (request.line.includes('first')) {
        copy = own;
        request.socket.write(own + copy.slice(0, cut));
      } else {
        request.socket.write(copy.slice(cut) + own);
        copy = '';
      }
    });
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
    const { callers } = gateway.addresses;
    await read(callers, '/write/first');
    const { length } = copy;
    for (cut = 0; cut <= length; cut += 1) {
      // eslint-disable-next-line no-await-in-loop
      const first = await read(callers, '/write/first');
      expect([first.status, first.body]).toEqual([200, 'first']);
      // eslint-disable-next-line no-await-in-loop
      const { status, body } = await read(callers, '/write/second');
      expect([cut, status === 200 ? body : status === 502 && 'second']).toEqual([cut, 'second']);
    }
  });

  // Guards against a request that is called not run, or run again, because of the rejection of another one.
  it('never takes the second copy of a rejection for one of the next request', async (context) => {
    const runner = await startRunner(context, (request) => {
      if (request.line.includes('first')) {
        request.socket.write(notRun());
        return;
      }
      // On the connection of the rejection its second copy comes before the answer.
      const isReused = runner.arrived[0]?.socket === request.socket;
      request.socket.write((isReused ? notRun() : '') + answer(request, 'ran'));
    });
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
    expect((await read(gateway.addresses.callers, '/write/first')).status).toEqual(503);
    // After a rejection the endpoint gets no requests for a moment.
    await wait(700);
    const second = await read(gateway.addresses.callers, '/write/second');
    expect([second.status, second.body]).toEqual([200, 'ran']);
  });

  // REFUSED, TWICE: a caller was told that its request has not run, by the copy of an earlier rejection on the connection.
  it('says nothing of a request whose answer is the copy of an earlier rejection', async (context) => {
    let rejection = '';
    const runner = await startRunner(context, (request) => {
      if (request.line.includes('first')) {
        const id = request.headers['x-corianderwick-request-id'];
        rejection = notRun().replace('\r\n', `\r\nX-Corianderwick-Request-Id: ${id}\r\n`);
        request.socket.write(rejection);
        return;
      }
      const isReused = runner.arrived[0]?.socket === request.socket;
      request.socket.write((isReused ? rejection : '') + answer(request, 'ran'));
    });
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
    const { callers } = gateway.addresses;
    expect((await read(callers, '/write/first')).status).toEqual(503);
    // After a rejection the endpoint gets no requests for a moment.
    await wait(700);
    expect((await read(callers, '/write/second')).status).toEqual(502);
    expect(runner.arrived.length).toEqual(2);
  });

  (
    [
      ['a plain service, one endpoint', '/write/', 'plain', 1],
      ['a plain service, two endpoints', '/write/', 'plain', 2],
      ['a stream, one endpoint', '/stream/', 'model', 1],
      ['a stream, two endpoints', '/stream/', 'model', 2],
    ] as const
  ).forEach(([name, path, service, count]) =>
    // TWICE, REFUSED: a request came to the connection that had brought its refusal, whose copy passed for the answer.
    it(`never takes the copy of a request's own refusal for its answer: ${name}`, async (context) => {
      const runs: string[] = [];
      const { gateway } = await startCopyingRunners(context, service, count, runs);
      const headers = { 'x-corianderwick-request-id': 'used-again' };
      const again = () => call(gateway.addresses.callers, { path, method: 'POST', headers });
      expect((await again()).status).toEqual(503);
      // After a rejection the endpoint gets no requests for a moment.
      await wait(700);
      const { status, body } = await again();
      expect([status, body, runs]).toEqual([
        200,
        path === '/stream/' ? event(1) : 'ran',
        runs.slice(0, 1),
      ]);
    }),
  );

  (
    [
      ['within its status line', 'HTTP/1.1 200 O', '500 Internal Server Error'],
      ['within the value of a header', 'HTTP/1.1 200 OK\r\nX-Note: a', '500 Internal Server Error'],
      ['within the status line of a failure', 'HTTP/1.1 404 Not F', '200 OK'],
    ] as const
  ).forEach(([name, copy, status]) =>
    // MIXED: a copy without its end and the answer that followed were read as one head, with the status of the copy.
    it(`never takes the status of a copy that is cut ${name}`, async (context) => {
      const runner = await startRunner(context, (request) => {
        const isFirst = request.line.includes('first');
        request.socket.write(
          isFirst ? answer(request, 'first') : copy + answer(request, 'own', status),
        );
      });
      const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
      const { callers } = gateway.addresses;
      expect((await read(callers, '/write/first')).status).toEqual(200);
      expect((await read(callers, '/write/second')).status).toEqual(502);
    }),
  );

  // REFUSED, TWICE: a refusal that names no request passed for the answer to one that ran.
  it('believes a refusal without an id only on a connection that has carried nothing else', async (context) => {
    const runner = await startRunner(context, (request) => {
      const isReused = runner.arrived[0] !== request;
      request.socket.write((isReused ? notRun() : '') + answer(request, 'ran'));
    });
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
    const { callers } = gateway.addresses;
    expect((await read(callers, '/write/first')).status).toEqual(200);
    expect((await read(callers, '/write/second')).status).toEqual(502);
    expect(runner.arrived.length).toEqual(2);
  });
});
