import { describe, it } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { expect } from 'earl';
import { until } from '../support/scoped.ts';
import { startCutPair } from './startCutPair.ts';
import {
  call,
  runnerSpec,
  startReadyGateway,
  untilReady,
  type GatewayStandIns,
} from './startGateway.ts';
import {
  answer,
  chunk,
  END,
  event,
  notRun,
  signed,
  startRunner,
  streamHead,
} from './startRunner.ts';

const callers = ({ gateway }: GatewayStandIns): string => gateway.addresses.callers;

describe('a gateway that reaches no endpoint', () => {
  it('has requests served by a peer, unchanged and with the time that is left', async (context) => {
    const { cut, reaching, runner } = await startCutPair(context, (request) =>
      request.socket.write(answer(request, 'done')),
    );
    const { status, body } = await call(callers(cut), {
      path: '/write/order?of=all',
      method: 'POST',
      body: 'order',
      headers: { 'x-gateway-forward': 'forged', 'x-other': 'kept' },
    });
    expect([status, body]).toEqual([200, 'done']);
    const [arrived] = runner.arrived;
    expect(arrived?.line).toEqual('POST /write/order?of=all HTTP/1.1');
    expect(arrived?.body).toEqual('order');
    expect(arrived?.headers['x-other']).toEqual('kept');
    expect(arrived?.headers['x-corianderwick-tenant']).toEqual('office');
    expect(arrived?.headers['x-gateway-forward']).toEqual(undefined);
    expect(arrived?.headers['x-corianderwick-key']).toEqual(undefined);
    expect(Number(arrived?.headers['x-corianderwick-deadline-ms']) <= 2_000).toEqual(true);
    const ended = (log: GatewayStandIns['log']) => log.find(({ msg }) => msg === 'request ended');
    expect(ended(cut.log)?.request).toEqual(ended(reaching.log)?.request);
    expect(ended(reaching.log)?.forwardedBy === undefined).toEqual(false);
  });

  it('passes streams on event by event, and tells the peer if the caller leaves', async (context) => {
    const { cut, runner } = await startCutPair(context, (request) =>
      request.socket.write(streamHead(request) + chunk(event(1))),
    );
    const [host, port] = callers(cut).split(':');
    const { request: send } = await import('node:http');
    const first = await new Promise<string>((resolve) => {
      const request = send({
        host,
        port,
        path: '/stream/chat',
        method: 'POST',
        headers: {
          host: 'desk.example',
          'x-corianderwick-request-id': 'leaving',
          'x-corianderwick-key': 'key-of-the-office',
          'x-corianderwick-token-count': '10,10',
        },
      });
      request.on('error', () => {});
      request.on('response', (response) => {
        response.on('error', () => {});
        response.once('data', (bytes: Buffer) => {
          resolve(bytes.toString());
          request.destroy();
        });
      });
      request.end('prompt');
    });
    expect(first).toEqual(event(1));
    await until(() => runner.arrived[0]?.socket.destroyed === true);
  });

  it('resumes a stream through the peer where the endpoint broke it off', async (context) => {
    const { cut, runner } = await startCutPair(context, (request, count) => {
      if (count === 1) {
        request.socket.write(streamHead(request) + chunk(event(1)), () =>
          request.socket.resetAndDestroy(),
        );
      } else request.socket.write(streamHead(request) + chunk(event(2)) + END);
    });
    const { status, body, complete } = await call(callers(cut), {
      path: '/resumed/chat',
      method: 'POST',
      headers: { 'x-corianderwick-token-count': '10,10' },
      body: 'prompt',
    });
    expect([status, body, complete]).toEqual([200, event(1) + event(2), true]);
    expect(runner.arrived[1]?.headers['last-event-id']).toEqual('1');
  });

  it('passes on that the request has not run, and that it may have', async (context) => {
    const { cut } = await startCutPair(context, (request, count) => {
      if (count === 1) request.socket.write(notRun());
      else request.socket.resetAndDestroy();
    });
    const refused = await call(callers(cut), { path: '/write/order', method: 'POST', body: 'o' });
    expect(refused.status).toEqual(503);
    expect(refused.headers['retry-after'] === undefined).toEqual(false);
    await wait(100);
    const unknown = await call(callers(cut), { path: '/write/order', method: 'POST', body: 'o' });
    expect(unknown.status).toEqual(502);
  });

  it('sends a request itself if no peer reaches endpoints either', async (context) => {
    const { cut, reaching, runner } = await startCutPair(context, (request) =>
      request.socket.write(answer(request, 'done')),
    );
    await reaching.kill();
    const { status } = await call(callers(cut), { path: '/read/record' });
    expect(status).toEqual(503);
    expect(runner.arrived.length).toEqual(0);
  });

  it('is left out of the addresses for callers, and stays ready', async (context) => {
    const { cut, reaching } = await startCutPair(context, (request) =>
      request.socket.write(answer(request, 'done')),
    );
    await call(callers(cut), { path: '/read/record' });
    const listed = async (): Promise<string> =>
      (await call(reaching.gateway.addresses.directory, { path: '/api/resolve?name=desk.example' }))
        .body;
    for (let turn = 0; turn < 100 && (await listed()).includes(callers(cut)); turn += 1)
      await wait(20);
    expect((await listed()).includes(callers(cut))).toEqual(false);
    await untilReady(cut);
  });
});

describe('the port for peers', () => {
  it('refuses requests that no peer has forwarded', async (context) => {
    const { reaching, runner } = await startCutPair(context, (request) =>
      request.socket.write(answer(request, 'done')),
    );
    const address = reaching.gateway.addresses.peers;
    const plain = await call(address, { path: '/read/record' });
    const forged = await call(address, {
      path: '/read/record',
      headers: { 'x-gateway-forward': 'e30.00' },
    });
    expect([plain.status, forged.status, runner.arrived.length]).toEqual([403, 403, 0]);
  });
});

describe('an endpoint that is silent for a second', () => {
  // Guards against a pause of one endpoint that is taken for lost connections, or costs a request (silence).
  it('costs no request and no trust', async (context) => {
    const silent = await startRunner(context, (request) => {
      setTimeout(
        () => request.socket.write(`${signed(request)}Content-Length: 2\r\n\r\nok`),
        1_200,
      );
    });
    const { gateway, log } = await startReadyGateway(context, {
      'i-1': runnerSpec('plain', silent),
    });
    const answers = await Promise.all(
      Array.from({ length: 3 }, () =>
        call(gateway.addresses.callers, { path: '/write/order', method: 'POST', body: 'order' }),
      ),
    );
    expect(answers.map(({ status }) => status)).toEqual([200, 200, 200]);
    expect(silent.arrived.length).toEqual(3);
    expect(log.some(({ msg }) => msg === 'no endpoint is reached')).toEqual(false);
  });
});
