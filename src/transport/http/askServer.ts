import * as http from 'node:http';
import type { Socket } from 'node:net';

/** A request that a server answers without running anything. */
export interface ServerCheck {
  /** `http://IP:PORT` */
  readonly address: string;
  readonly method: 'GET' | 'OPTIONS';
  readonly path: string;
}

/** Node throws where a path holds what HTTP can't carry. */
const openRequest = (
  socket: Socket,
  { address, method, path }: ServerCheck,
): http.ClientRequest | undefined => {
  // A server states its idle timeout only where it may keep the connection.
  const headers = { host: new URL(address).host, connection: 'keep-alive' };
  try {
    return http.request({ method, path, headers, createConnection: () => socket });
  } catch {
    return undefined;
  }
};

/**
 * Sends a check on an open connection, which is closed after the answer: a late copy of that answer would be taken for the
 * answer to the next check. Any answer shows that the process that accepted the connection ran after the check was sent.
 *
 * @param socket - a connection that carries nothing
 * @param check - what to ask
 * @param timeoutMs - time for the answer
 * @param onSettled - called once, never before this function has returned, with the header lines of the answer; undefined
 *   without an answer
 * @returns a function that gives the check up; `onSettled` isn't called after it
 */
export const askServer = (
  socket: Socket,
  check: ServerCheck,
  timeoutMs: number,
  onSettled: (headers: http.IncomingHttpHeaders | undefined) => void,
): (() => void) => {
  const outgoing = openRequest(socket, check);
  let isSettled = false;
  let timer: NodeJS.Timeout | undefined;
  const stop = (): void => {
    isSettled = true;
    clearTimeout(timer);
    outgoing?.destroy();
    socket.destroy();
  };
  const settle = (headers: http.IncomingHttpHeaders | undefined): void => {
    if (isSettled) return;
    stop();
    onSettled(headers);
  };
  if (outgoing === undefined) {
    timer = setTimeout(() => settle(undefined), 0);
    return stop;
  }
  timer = setTimeout(() => settle(undefined), timeoutMs);
  outgoing.on('response', ({ headers }) => settle(headers));
  outgoing.on('error', () => settle(undefined));
  outgoing.on('close', () => settle(undefined));
  outgoing.end();
  return stop;
};
