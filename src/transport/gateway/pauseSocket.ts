import type { Socket } from 'node:net';

/**
 * Reads nothing more from a caller's connection. Node's HTTP server would go on reading for a body that is under way.
 *
 * @param socket - a connection of an HTTP server
 * @returns a function that goes on reading
 */
export const pauseSocket = (socket: Socket): (() => void) => {
  const pause = (): void => {
    socket.pause();
  };
  socket.on('resume', pause);
  pause();
  return () => {
    socket.removeListener('resume', pause);
    socket.resume();
  };
};
