import { describe, it, type TestContext } from 'node:test';
import * as net from 'node:net';
import { expect } from 'earl';
import { FaultLink } from './FaultLink.ts';

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** A server that sends back what it gets, a link before it, and a connection through that. */
const connect = async (context: TestContext) => {
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.pipe(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const link = await FaultLink.start(context, () => `127.0.0.1:${port}`);
  const [host, linkPort] = link.address.split(':');
  const socket = net.connect({ host, port: Number(linkPort) });
  context.after(() => {
    socket.destroy();
    server.close();
  });
  let received = '';
  const closed = new Promise<void>((resolve) => {
    socket.on('close', () => resolve());
  });
  socket.on('error', () => {});
  socket.on('data', (bytes) => {
    received += bytes.toString();
  });
  const until = async (text: string): Promise<void> => {
    while (received !== text) await pause(2);
  };
  return { link, socket, until, closed, received: () => received };
};

describe('FaultLink', () => {
  (['toServer', 'toCaller', 'both'] as const).forEach((direction) => {
    it(`holds back bytes while it is silent (${direction}), and passes them on afterwards`, async (context) => {
      const { link, socket, until, received } = await connect(context);
      socket.write('before ');
      await until('before ');
      link.setCondition({ _tag: 'silent', direction });
      socket.write('within');
      await pause(60);
      expect(received()).toEqual('before ');
      link.setCondition({ _tag: 'clear' });
      await until('before within');
    });
  });

  it('delays bytes and keeps their order', async (context) => {
    const { link, socket, until } = await connect(context);
    link.setCondition({ _tag: 'delayed', ms: 40 });
    const since = performance.now();
    socket.write('one ');
    await pause(5);
    socket.write('two');
    await until('one two');
    // Twice the delay, less a timer's grain.
    expect(performance.now() - since > 75).toEqual(true);
  });

  it('resets open connections and new ones', async (context) => {
    const { link, socket, until, closed } = await connect(context);
    socket.write('open');
    await until('open');
    link.setCondition({ _tag: 'reset' });
    await closed;
    const [host, port] = link.address.split(':');
    const late = net.connect({ host, port: Number(port) });
    await new Promise<void>((resolve) => {
      late.on('error', () => {});
      late.on('close', () => resolve());
    });
  });
});
