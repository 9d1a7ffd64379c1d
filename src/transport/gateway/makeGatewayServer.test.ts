import * as net from 'node:net';
import { describe, it, type TestContext } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { expect } from 'earl';
import { runScoped, until } from '../../../test/support/scoped.ts';
import { makeGatewayServer } from './makeGatewayServer.ts';

const REQUEST = 'GET / HTTP/1.1\r\nHost: example\r\n\r\n';
const HEADER_TIMEOUT_MS = 300;

const start = (context: TestContext) =>
  runScoped(
    context,
    makeGatewayServer({
      address: { host: '127.0.0.1', port: 0 },
      now: () => performance.now(),
      limits: () => ({
        maximumHeaderBytes: 4_096,
        maximumBodyBytes: 1_000,
        headerTimeoutMs: HEADER_TIMEOUT_MS,
        idleTimeoutMs: 5_000,
      }),
      onRequest: (_request, answer) => answer.send(200, [], Buffer.from('served')),
      onRejected: () => {},
      onUnavailable: () => {},
    }),
  );

const connect = (context: TestContext, address: string) => {
  const [host, port] = address.split(':');
  const socket = net.connect(Number(port), host);
  context.after(() => socket.destroy());
  const seen = { text: '', closed: false };
  socket.on('data', (bytes) => {
    seen.text += bytes.toString('latin1');
  });
  socket.on('error', () => {});
  socket.on('close', () => {
    seen.closed = true;
  });
  return { socket, seen };
};

describe('makeGatewayServer', () => {
  // Guards against connections that are reset because they waited to be accepted when the port was closed.
  it('answers on connections that wait to be accepted when it stops accepting', async (context) => {
    const server = await start(context);
    const callers = Array.from({ length: 20 }, () => connect(context, server.address));
    callers.forEach(({ socket }) => socket.write(REQUEST));
    server.stopAccepting();
    await until(() => callers.every(({ seen }) => seen.text !== '' || seen.closed));
    expect(callers.filter(({ seen }) => seen.text.includes('served')).length).toEqual(20);
  });

  // Guards against callers that get 408 though their heads had arrived in time, while this process was paused.
  it('reads a head that arrived while the process stood still', async (context) => {
    const server = await start(context);
    const { socket, seen } = connect(context, server.address);
    await wait(50);
    socket.write(REQUEST);
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 1_200);
    await until(() => seen.text !== '');
    expect(seen.text).toInclude('200 OK');
  });

  it('ends a connection whose head never becomes complete, though bytes arrive', async (context) => {
    const server = await start(context);
    const { socket, seen } = connect(context, server.address);
    socket.write('GET / HTTP/1.1\r\nX-Long: ');
    const timer = setInterval(() => socket.write('a'), 20);
    context.after(() => clearInterval(timer));
    await until(() => seen.text !== '');
    expect(seen.text).toInclude('408');
  });
});
