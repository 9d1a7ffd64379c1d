import * as http from 'node:http';
import type { Socket } from 'node:net';
import { CHECK_DELAY_MS, confirmServerRuns } from './confirmServerRuns.ts';
import type { ConnectionPool } from './ConnectionPool.ts';
import type { ExchangeEvent } from './exchange.ts';

/** A crashed server needs longer than this until its crash was noticed, it was started again and accepts connections. */
const RESTART_MS = 100;
/** Most answers without an end mark are over within this time, and need no further connection. Well below `RESTART_MS`. */
const OPEN_DELAY_MS = 30;
/** Bytes that a cut link had held back arrive within this time of each other. */
const HELD_BACK_MS = 50;
/** Time for the server to answer a check. A caller waits for it, and it may have to wait for a slot. */
const CHECK_TIMEOUT_MS = 1_000;

/** A connection that is open beside that of the answer and carries nothing meanwhile. */
interface HeldConnection {
  readonly socket: Socket;
  /** When it was opened, in ms. */
  readonly openedAt: number;
  readonly unwatch: () => void;
}

/** The server to check, and a request that it answers without running anything. */
export interface EndConfirmationOptions {
  readonly pool: ConnectionPool;
  /** `http://IP:PORT` */
  readonly address: string;
  readonly method: 'GET' | 'OPTIONS';
  readonly path: string;
}

/**
 * Confirms the end of an answer that only the end of its connection marks. A crash of the server ends the connection
 * too, and if the link was cut meanwhile the server may have started again before its end arrives. This takes time, in
 * which no bytes arrive. So after a silence the answer is complete only if the server answers on a connection that was
 * opened before it could have started again; without one, the server only has to accept connections.
 */
export class EndConfirmation {
  readonly #options: EndConfirmationOptions;

  #isUnmarked = false;

  #bytesAt = 0;

  /** When the last bytes before the latest silence arrived; undefined before the first silence. */
  #quietSince: number | undefined;

  /** When the first bytes after the latest silence arrived. */
  #flowingSince = 0;

  /** When bytes were first left unread, after which their times say nothing of when they arrived. */
  #unreadSince: number | undefined;

  #held: HeldConnection | undefined;

  #timer: NodeJS.Timeout | undefined;

  #stopConnecting: (() => void) | undefined;

  #stopCheck: (() => void) | undefined;

  #isClosed = false;

  constructor(options: EndConfirmationOptions) {
    this.#options = options;
  }

  /** Takes notice of an event of the exchange, before it is handled. */
  observe(event: ExchangeEvent): void {
    if (this.#isClosed) return;
    const { pool, address } = this.#options;
    const now = pool.now();
    if (event._tag === 'written') {
      this.#bytesAt = now;
      if (pool.servers.mayLeaveEndUnmarked(address, now)) this.#scheduleOpening();
    } else if (event._tag === 'head') {
      this.#isUnmarked = event.framing === 'close';
      pool.servers.recordHead(address, event, now);
      this.#recordBytes(now);
      if (this.#isUnmarked) this.#scheduleOpening();
      else this.#release();
    } else if (event._tag === 'data' && this.#isUnmarked) {
      this.#recordBytes(now);
      this.#scheduleOpening();
    }
  }

  /** Takes notice of the head of an answer whose end needs no confirmation, since the answer itself marks it. */
  dismiss({ headers }: ExchangeEvent & { readonly _tag: 'head' }): void {
    const { pool, address } = this.#options;
    pool.servers.recordHead(address, { framing: 'length', headers }, pool.now());
    this.#release();
  }

  /** Records that bytes are left unread from now on. */
  pause(): void {
    this.#unreadSince ??= this.#options.pool.now();
  }

  /**
   * Checks whether an answer is complete that the exchange reported as ended.
   *
   * @param onChecked - called once, unless this is closed before, with why the answer can't be taken for complete;
   *   undefined if it is complete
   */
  confirm(onChecked: (reason: string | undefined) => void): void {
    if (this.#isClosed) return;
    if (!this.#isUnmarked) {
      onChecked(undefined);
      return;
    }
    const { pool, address } = this.#options;
    const restartSince = this.#findPossibleRestart(pool.now());
    const finish = (reason: string | undefined): void => {
      this.#stopCheck = undefined;
      try {
        onChecked(reason);
      } catch (error) {
        pool.reportFault(error);
      }
    };
    if (restartSince === undefined) {
      this.#stopCheck = confirmServerRuns(pool, address, (runs) =>
        finish(runs ? undefined : 'the server accepts no connections'),
      );
      return;
    }
    const timer = setTimeout(() => this.#check(restartSince + RESTART_MS, finish), CHECK_DELAY_MS);
    this.#stopCheck = () => clearTimeout(timer);
  }

  /** Gives up what is under way; a connection that was kept open goes back to the pool. */
  close(): void {
    this.#isClosed = true;
    this.#stopCheck?.();
    this.#release();
  }

  #release(): void {
    clearTimeout(this.#timer);
    this.#stopConnecting?.();
    const held = this.#held;
    if (held === undefined) return;
    held.unwatch();
    this.#held = undefined;
    this.#options.pool.release(this.#options.address, held.socket, held.openedAt);
  }

  #recordBytes(now: number): void {
    if (now - this.#bytesAt > RESTART_MS) {
      this.#quietSince = this.#bytesAt;
      this.#flowingSince = now;
    }
    this.#bytesAt = now;
  }

  /** Returns since when the server may have crashed and started again, or undefined if it can't have. */
  #findPossibleRestart(now: number): number | undefined {
    const flowedMs = this.#bytesAt - this.#flowingSince;
    const isQuietAtEnd = now - this.#bytesAt > RESTART_MS;
    this.#recordBytes(now);
    if (this.#unreadSince !== undefined)
      return Math.min(this.#unreadSince, this.#quietSince ?? this.#unreadSince);
    return isQuietAtEnd || flowedMs <= HELD_BACK_MS ? this.#quietSince : undefined;
  }

  /** Checks whether the server still answers on a connection that was opened before a moment, in ms. */
  #check(openedBefore: number, onChecked: (reason: string | undefined) => void): void {
    const socket = this.#takeConnection(openedBefore);
    if (socket === undefined) {
      onChecked('the server may have started again, and no connection is left from before');
      return;
    }
    this.#stopCheck = this.#ask(socket, (isAnswered) =>
      onChecked(isAnswered ? undefined : 'the server answers no more on a connection from before'),
    );
  }

  /** Takes a connection that was opened before a moment, in ms. */
  #takeConnection(openedBefore: number): Socket | undefined {
    const { pool, address } = this.#options;
    const held = this.#held;
    if (held === undefined || held.openedAt >= openedBefore)
      return pool.takeIdle(address, openedBefore);
    held.unwatch();
    this.#held = undefined;
    return held.socket;
  }

  #scheduleOpening(): void {
    if (this.#held !== undefined || this.#timer !== undefined) return;
    this.#timer = setTimeout(() => this.#openConnection(), OPEN_DELAY_MS);
  }

  #openConnection(): void {
    const { pool, address } = this.#options;
    let isSettled = false;
    const stop = pool.connect(address, false, (outcome) => {
      isSettled = true;
      this.#stopConnecting = undefined;
      // Bytes that arrive later make another attempt.
      this.#timer = undefined;
      if (outcome._tag === 'connected') this.#watch(outcome.socket);
    });
    if (!isSettled) this.#stopConnecting = stop;
  }

  #watch(socket: Socket): void {
    const drop = (): void => {
      this.#held = undefined;
      socket.destroy();
    };
    // An idle connection that brings bytes can't be trusted with an answer.
    const events = ['data', 'end', 'close'] as const;
    events.forEach((name) => socket.on(name, drop));
    socket.resume();
    this.#held = {
      socket,
      openedAt: this.#options.pool.openedAt(socket),
      unwatch: () => events.forEach((name) => socket.removeListener(name, drop)),
    };
  }

  /** Sends the check. Any answer shows that the process that accepted the connection still runs. */
  #ask(socket: Socket, onAnswered: (isAnswered: boolean) => void): () => void {
    const outgoing = this.#openRequest(socket);
    if (outgoing === undefined) {
      onAnswered(false);
      return () => {};
    }
    let isSettled = false;
    const settle = (isAnswered: boolean): void => {
      if (isSettled) return;
      isSettled = true;
      outgoing.destroy();
      onAnswered(isAnswered);
    };
    const timer = setTimeout(() => settle(false), CHECK_TIMEOUT_MS);
    outgoing.on('response', () => settle(true));
    outgoing.on('error', () => settle(false));
    outgoing.on('close', () => {
      clearTimeout(timer);
      settle(false);
    });
    outgoing.end();
    return () => {
      isSettled = true;
      outgoing.destroy();
    };
  }

  /** Node throws where a path holds what HTTP can't carry. */
  #openRequest(socket: Socket): http.ClientRequest | undefined {
    const { address, method, path } = this.#options;
    const headers = { host: new URL(address).host, connection: 'close' };
    try {
      return http.request({ method, path, headers, createConnection: () => socket });
    } catch {
      socket.destroy();
      return undefined;
    }
  }
}
