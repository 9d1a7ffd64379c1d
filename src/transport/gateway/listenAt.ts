import type * as http from 'node:http';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type { ListenAddress } from '../../state/gateway/index.ts';

/** Time between two tries to listen at an address that the process before may still hold. */
const LISTEN_RETRY_MS = 100;

/**
 * Makes a server listen, and close with the scope. An address in use is tried again until it is free.
 *
 * @param server - an HTTP server
 * @param address - where to listen
 */
export const listenAt = (
  server: http.Server,
  { host, port }: ListenAddress,
): Effect.Effect<void, never, Scope.Scope> =>
  Effect.acquireRelease(
    Effect.callback<void>((resume) => {
      server.on('error', () => {
        setTimeout(() => server.listen(port, host), LISTEN_RETRY_MS);
      });
      server.listen(port, host, () => resume(Effect.void));
    }),
    () =>
      Effect.sync(() => {
        server.close();
        server.closeAllConnections();
      }),
  );
