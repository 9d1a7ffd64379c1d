import * as http from 'node:http';
import { describe, it } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { expect } from 'earl';
import { runScoped } from '../../../test/support/scoped.ts';
import { listenAt } from './listenAt.ts';

const ANY = { host: '127.0.0.1', port: 0 };
/** Longer than a server waits before it tries to listen again. */
const RETRIED_MS = 300;

const statusAt = (address: string): Promise<number | undefined> =>
  new Promise((resolve, reject) => {
    http
      .get(`http://${address}`, { agent: false }, (response) => {
        response.resume();
        resolve(response.statusCode);
      })
      .on('error', reject);
  });

describe('listenAt', () => {
  // FAULT: a connection that couldn't be accepted ended the process, since a server that listens was told to listen.
  it('goes on after a connection that could not be accepted, and reports it once', async (context) => {
    const server = http.createServer((_, response) => response.end());
    const reasons: string[] = [];
    const address = await runScoped(
      context,
      listenAt(server, ANY, (reason) => reasons.push(reason)),
    );
    server.emit('error', new Error('accept EMFILE'));
    server.emit('error', new Error('accept EMFILE'));
    await wait(RETRIED_MS);
    expect(await statusAt(address)).toEqual(200);
    expect(reasons).toEqual(['accept EMFILE']);
  });

  it('listens once an address that is in use is free', async (context) => {
    const first = http.createServer();
    await new Promise<void>((resolve) => {
      first.listen(0, ANY.host, resolve);
    });
    const { port } = first.address() as { port: number };
    const reasons: string[] = [];
    const server = http.createServer((_, response) => response.end());
    const listening = runScoped(
      context,
      listenAt(server, { ...ANY, port }, (reason) => reasons.push(reason)),
    );
    await wait(RETRIED_MS);
    first.close();
    expect(await statusAt(await listening)).toEqual(200);
    expect(reasons.length).toEqual(1);
  });
});
