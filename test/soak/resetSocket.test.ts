import * as net from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { resetSocket } from './resetSocket.ts';

const CLOSED_WITHIN_MS = 2_000;

describe('resetSocket', () => {
  it('closes a connection that is just being shut down', async (context) => {
    const server = net.createServer();
    const accepted = new Promise<net.Socket>((resolve) => {
      server.once('connection', resolve);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const reader = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1');
    reader.on('error', () => {});
    context.after(() => {
      reader.destroy();
      server.close();
    });
    const socket = await accepted;
    socket.on('error', () => {});
    const closed = new Promise<boolean>((resolve) => {
      const timer = setTimeout(() => resolve(false), CLOSED_WITHIN_MS);
      socket.once('close', () => {
        clearTimeout(timer);
        resolve(true);
      });
    });
    socket.end();
    resetSocket(socket);
    expect(await closed).toEqual(true);
  });
});
