import type { Socket } from 'node:net';

/**
 * Tells the end of a connection from a reset. Where a reset arrives together with the last bytes,
 * libuv reports an ordinary end; writing then fails, while a peer that has only finished still takes
 * bytes.
 */
export class EndProbe {
  #state: 'unused' | 'writing' | 'sound' | 'reset' = 'unused';

  #onSettled: (() => void) | undefined;

  /** Writes what a server ignores between requests, once the connection's end was read. */
  start(socket: Socket): void {
    this.#state = 'writing';
    socket.write('\r\n', (error) => {
      this.#state = error ? 'reset' : 'sound';
      this.#onSettled?.();
    });
  }

  /** Calls back, now or later, with whether the connection was reset. */
  settle(callback: (wasReset: boolean) => void): void {
    this.#onSettled = () => callback(this.#state === 'reset');
    if (this.#state !== 'writing') callback(this.#state === 'reset');
  }
}
