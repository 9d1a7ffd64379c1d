import type * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type { ListenAddress } from '../../state/gateway/index.ts';

/** Time between two tries to listen at an address that the process before may still hold. */
const LISTEN_RETRY_MS = 100;

/**
 * Makes a server listen, and close with the scope. An address in use is tried again until it is free.
 *
 * @param server - an HTTP server
 * @param address - where to listen; port 0 takes any free port
 * @param onUnavailable - told once of each reason for which the address, or a connection, can't be had
 * @returns `IP:PORT` that it is bound to
 */
export const listenAt = (
  server: http.Server,
  { host, port }: ListenAddress,
  onUnavailable: (reason: string) => void,
): Effect.Effect<string, never, Scope.Scope> =>
  Effect.acquireRelease(
    Effect.callback<string>((resume) => {
      const told = new Set<string>();
      server.on('error', ({ message }) => {
        if (!told.has(message)) onUnavailable(message);
        told.add(message);
        // A server that listens also tells of a connection that it couldn't accept.
        if (!server.listening) setTimeout(() => server.listen(port, host), LISTEN_RETRY_MS);
      });
      server.listen(port, host, () => {
        const bound = server.address() as AddressInfo;
        resume(Effect.succeed(`${bound.address}:${bound.port}`));
      });
    }),
    () =>
      Effect.sync(() => {
        server.close();
        server.closeAllConnections();
      }),
  );
