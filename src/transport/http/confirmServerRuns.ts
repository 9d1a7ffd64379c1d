import type { ConnectionPool } from './ConnectionPool.ts';

/** A process that ends may close its connections a little earlier than its port. */
export const CHECK_DELAY_MS = 30;

/**
 * Checks whether the server of an answer that only the end of its connection ended still runs. The end of the server's
 * process looks the same, so the answer is complete only if the server accepts connections after it. This doesn't tell
 * the process from one that was started since; `EndConfirmation` does. The connection that shows it replaces the one
 * that ended, for the next request to the server.
 *
 * @param pool - opens the connection and keeps it
 * @param address - `http://IP:PORT`
 * @param onChecked - called once with whether the server accepts connections
 * @returns a function that gives the check up; `onChecked` isn't called after it
 */
export const confirmServerRuns = (
  pool: ConnectionPool,
  address: string,
  onChecked: (runs: boolean) => void,
): (() => void) => {
  let stop = (): void => {};
  const timer = setTimeout(() => {
    stop = pool.connect(address, true, (outcome) => {
      if (outcome._tag === 'connected') pool.release(address, outcome.socket);
      onChecked(outcome._tag === 'connected');
    });
  }, CHECK_DELAY_MS);
  return () => {
    clearTimeout(timer);
    stop();
  };
};
