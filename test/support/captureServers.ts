import * as net from 'node:net';
import type { TestContext } from 'node:test';

/**
 * Collects the servers that begin to listen from now on.
 *
 * @param context - ends the collection
 * @returns the servers, in the order in which they were told to listen
 */
export const captureServers = (context: TestContext): readonly net.Server[] => {
  const servers: net.Server[] = [];
  const { listen } = net.Server.prototype;
  context.mock.method(
    net.Server.prototype,
    'listen',
    function capture(this: net.Server, ...options: Parameters<typeof listen>) {
      servers.push(this);
      return listen.apply(this, options);
    },
  );
  return servers;
};
