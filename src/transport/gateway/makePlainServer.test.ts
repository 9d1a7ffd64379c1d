import * as net from 'node:net';
import { describe, it, type TestContext } from 'node:test';
import { expect } from 'earl';
import { runScoped } from '../../../test/support/scoped.ts';
import { makePlainServer, type PlainHandler } from './makePlainServer.ts';

const start = async (context: TestContext, handle: PlainHandler) => {
  const problems: string[] = [];
  const address = await runScoped(
    context,
    makePlainServer({ host: '127.0.0.1', port: 0 }, handle, (detail) => problems.push(detail)),
  );
  return { address, problems };
};

/** Asks with a target that an HTTP client of Node would refuse to send. */
const askStatus = (address: string, target: string): Promise<number> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    let text = '';
    const socket = net.connect(Number(port), host);
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
    });
    socket.on('close', () => resolve(Number(text.split(' ')[1])));
    socket.write(`GET ${target} HTTP/1.1\r\nHost: example\r\nConnection: close\r\n\r\n`);
  });

describe('makePlainServer', () => {
  // LOST: such a target threw in the listener, which ended the process with all its requests.
  ['//', 'http://[', 'http://a:99999/'].forEach((target) =>
    it(`refuses the target ${target}, which is no URL, and answers the next question`, async (context) => {
      const { address } = await start(context, () => ({ status: 200 }));
      expect([await askStatus(address, target), await askStatus(address, '/')]).toEqual([400, 200]);
    }),
  );

  // Guards against a handler that ends the process where it throws before it returns a promise.
  it('answers 500 where its handler throws, and reports it', async (context) => {
    const { address, problems } = await start(context, ({ pathname }) => {
      if (pathname === '/broken') throw new Error('no answer');
      return { status: 200 };
    });
    expect([await askStatus(address, '/broken'), await askStatus(address, '/')]).toEqual([
      500, 200,
    ]);
    expect(problems).toEqual(['/broken: no answer']);
  });
});
