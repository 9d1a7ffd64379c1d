import type { Socket } from 'node:net';

/**
 * Resets a connection. Node can't reset one that is being shut down, and its handle would then never
 * close: the process would spin for ever at its end.
 *
 * @param socket - the connection; one that is ending is closed in place of being reset
 */
export const resetSocket = (socket: Socket): void => {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
};
