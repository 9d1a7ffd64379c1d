import * as net from 'node:net';
import { ConnectionHistory, type ConnectionUse } from './ConnectionHistory.ts';
import { ServerRecords } from './ServerRecords.ts';

/** What opening a connection gave. */
export type ConnectOutcome =
  | { readonly _tag: 'connected'; readonly socket: net.Socket; readonly reused: boolean }
  | {
      readonly _tag: 'refused';
      readonly detail: string;
      /** Whether this process has no connection to spare, so that the server has no part in it. */
      readonly exhausted?: true;
    };

/** What bounds a pool of connections. */
export interface ConnectionPoolOptions {
  readonly connectTimeoutMs: number;
  /** A connection that carried nothing for longer isn't used again. */
  readonly connectionTrustMs: number;
  /** Most open connections, to all addresses together; no limit without it. */
  readonly maximumConnections?: number;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  /** Told of errors that were thrown while an outcome or an answer was handled; without it they are thrown on. */
  readonly onFault?: (error: unknown) => void;
}

interface IdleConnection {
  readonly socket: net.Socket;
  readonly idleSince: number;
  /** Stops watching the connection for what an idle one must not bring. */
  readonly unwatch: () => void;
}

const MAXIMUM_IDLE_PER_ADDRESS = 64;
/** Idle connections that may be kept though they have all carried the id of the request that comes next. */
const MAXIMUM_PASSED_OVER = 2;
const KEEP_ALIVE_PROBE_MS = 10_000;

/** Returns undefined for what is no address, such as one with a port out of range. */
const hostAndPort = (
  address: string,
): { readonly host: string; readonly port: number } | undefined => {
  if (!URL.canParse(address)) return undefined;
  const { hostname, port } = new URL(address);
  return { host: hostname, port: Number(port) };
};

// Anything that an idle connection brings means that it can't be trusted with the next answer.
const watchIdle = (socket: net.Socket): (() => void) => {
  const drop = (): void => {
    socket.destroy();
  };
  socket.on('data', drop).on('end', drop);
  socket.resume();
  return () => {
    socket.removeListener('data', drop).removeListener('end', drop);
  };
};

/**
 * Connections to HTTP servers by address. Connecting is a step of its own, so that a failure to
 * connect is told apart from one after the first byte of a request.
 */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions;

  readonly #idle = new Map<string, IdleConnection[]>();

  /** What each open connection has carried. */
  readonly #histories = new Map<net.Socket, ConnectionHistory>();

  /** When each connection was opened, in ms. */
  readonly #openedAt = new WeakMap<net.Socket, number>();

  /** Since when the process that accepted a connection is known to have run, in ms, if it is earlier. */
  readonly #serverRunsSince = new WeakMap<net.Socket, number>();

  /** What the servers have shown of themselves. */
  readonly servers = new ServerRecords();

  #isClosed = false;

  constructor(options: ConnectionPoolOptions) {
    this.#options = options;
  }

  /**
   * Takes an idle connection that is still trusted, or opens one.
   *
   * @param address - `http://IP:PORT`
   * @param fresh - whether only a new connection will do
   * @param onOutcome - told once, possibly before this method returns
   * @param requestId - id of a request that the connection must not have carried; undefined if any will do
   * @returns a function that gives up connecting
   */
  connect(
    address: string,
    fresh: boolean,
    onOutcome: (outcome: ConnectOutcome) => void,
    requestId?: string,
  ): () => void {
    const tell = (outcome: ConnectOutcome): void => {
      try {
        onOutcome(outcome);
      } catch (error) {
        if (outcome._tag === 'connected') outcome.socket.destroy();
        this.reportFault(error);
      }
    };
    const idle = fresh ? undefined : this.#takeIdle(address, requestId);
    if (idle) {
      tell({ _tag: 'connected', socket: idle, reused: true });
      return () => {};
    }
    return this.#open(address, tell);
  }

  /**
   * Reports an error that ends one use of a connection.
   *
   * @param error - what was thrown
   * @throws the same error if nobody is to be told of it
   */
  reportFault(error: unknown): void {
    const { onFault } = this.#options;
    if (onFault === undefined) throw error;
    onFault(error);
  }

  /**
   * Records that a request is about to be sent on a connection.
   *
   * @param socket - a connection that this pool gave
   * @param id - id of the request; undefined if it has none
   * @returns what the connection had carried before
   */
  recordRequest(socket: net.Socket, id: string | undefined): ConnectionUse {
    const history = this.#histories.get(socket);
    // A connection that has closed meanwhile is one of which nothing is known.
    return history?.record(id) ?? { earlierRequests: Number.POSITIVE_INFINITY, isRepeated: false };
  }

  /** Returns the present time in ms, monotonic. */
  now(): number {
    return this.#options.now();
  }

  /**
   * Returns when a connection was opened.
   *
   * @param socket - a connection that this pool gave
   * @returns the time in ms, on the clock of `now`
   */
  openedAt(socket: net.Socket): number {
    return this.#openedAt.get(socket) ?? Infinity;
  }

  /**
   * Returns since when the process that accepted a connection is known to have run.
   *
   * @param socket - a connection that this pool gave
   * @returns the time in ms, on the clock of `now`; that of its opening, unless an earlier one was recorded
   */
  serverRunsSince(socket: net.Socket): number {
    return this.#serverRunsSince.get(socket) ?? this.openedAt(socket);
  }

  /**
   * Records since when the process that accepted a connection is known to have run.
   *
   * @param socket - a connection that this pool gave
   * @param since - the time in ms, on the clock of `now`
   */
  recordServerRunsSince(socket: net.Socket, since: number): void {
    this.#serverRunsSince.set(socket, since);
  }

  /**
   * Takes an idle connection that is still trusted, of a process that ran before a moment.
   *
   * @param address - `http://IP:PORT`
   * @param ranBefore - the moment in ms, on the clock of `now`
   * @returns the connection; undefined if there is none
   */
  takeIdle(address: string, ranBefore: number): net.Socket | undefined {
    const idle = this.#idle.get(address) ?? [];
    const index = idle.findIndex(
      (connection) =>
        this.#isTrusted(connection) && this.serverRunsSince(connection.socket) < ranBefore,
    );
    const [taken] = index < 0 ? [] : idle.splice(index, 1);
    taken?.unwatch();
    return taken?.socket;
  }

  /**
   * Takes a connection back once its answer was read to the end.
   *
   * @param address - `http://IP:PORT`
   * @param socket - a connection that this pool gave
   * @param idleSince - when it last carried something, in ms
   */
  release(address: string, socket: net.Socket, idleSince = this.#options.now()): void {
    const idle = this.#idle.get(address) ?? [];
    const isFull = this.#histories.get(socket)?.isFull === true;
    if (socket.destroyed || isFull || idle.length >= MAXIMUM_IDLE_PER_ADDRESS) {
      socket.destroy();
      return;
    }
    idle.push({ socket, idleSince, unwatch: watchIdle(socket) });
    this.#idle.set(address, idle);
  }

  /** Closes idle connections that are no longer trusted. */
  sweep(): void {
    this.#idle.forEach((connections, address) => {
      const kept = connections.filter((connection) => this.#isTrusted(connection));
      connections
        .filter((connection) => !kept.includes(connection))
        .forEach(({ socket }) => socket.destroy());
      if (kept.length === 0) this.#idle.delete(address);
      else this.#idle.set(address, kept);
    });
  }

  /** Closes all idle connections, after a time in which their servers may have closed them unnoticed. */
  closeIdle(): void {
    this.#idle.forEach((connections) => connections.forEach(({ socket }) => socket.destroy()));
    this.#idle.clear();
  }

  /** Closes every connection, and opens no more. */
  close(): void {
    this.#isClosed = true;
    this.#histories.forEach((_, socket) => socket.destroy());
    this.#idle.clear();
  }

  #isTrusted({ socket, idleSince }: IdleConnection): boolean {
    return !socket.destroyed && this.#options.now() - idleSince <= this.#options.connectionTrustMs;
  }

  /** Takes the connection that was used last, of those that are trusted and have not carried a request with the id. */
  #takeIdle(address: string, requestId: string | undefined): net.Socket | undefined {
    const idle = this.#idle.get(address) ?? [];
    const remove = (at: number): net.Socket | undefined => {
      const [connection] = idle.splice(at, 1);
      connection?.unwatch();
      return connection?.socket;
    };
    let passedOver = 0;
    for (let at = idle.length - 1; at >= 0; at -= 1) {
      const connection = idle[at] as IdleConnection;
      const hasCarried = this.#histories.get(connection.socket)?.has(requestId) === true;
      if (!this.#isTrusted(connection)) remove(at)?.destroy();
      else if (!hasCarried) return remove(at);
      else passedOver += 1;
    }
    // An id that comes again and again would open connections without end.
    if (passedOver >= MAXIMUM_PASSED_OVER) remove(0)?.destroy();
    return undefined;
  }

  /** Closes idle connections of any address if there is no room for a new one; returns whether there is some then. */
  #makeRoom(): boolean {
    const { maximumConnections = Number.POSITIVE_INFINITY } = this.#options;
    if (this.#histories.size < maximumConnections) return true;
    const idle = [...this.#idle.values()].flat();
    idle.forEach(({ socket }) => {
      socket.destroy();
      this.#histories.delete(socket);
    });
    this.#idle.clear();
    return idle.length > 0;
  }

  #open(address: string, onOutcome: (outcome: ConnectOutcome) => void): () => void {
    const target = hostAndPort(address);
    if (target === undefined) {
      onOutcome({ _tag: 'refused', detail: `${address} is no address` });
      return () => {};
    }
    if (this.#isClosed || !this.#makeRoom()) {
      const detail = this.#isClosed ? 'the pool is closed' : 'too many open connections';
      onOutcome({ _tag: 'refused', detail, exhausted: true });
      return () => {};
    }
    const socket = net.connect({ ...target, noDelay: true });
    this.#histories.set(socket, new ConnectionHistory());
    socket.once('close', () => this.#histories.delete(socket));
    let settled = false;
    let timer: NodeJS.Timeout | undefined;
    const settle = (outcome: ConnectOutcome): void => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      if (outcome._tag === 'refused') socket.destroy();
      onOutcome(outcome);
    };
    timer = setTimeout(
      () => settle({ _tag: 'refused', detail: 'connect timed out' }),
      this.#options.connectTimeoutMs,
    );
    // Stays for the life of the connection: an error in idle time must not end the process.
    socket.on('error', (error) => settle({ _tag: 'refused', detail: error.message }));
    socket.once('connect', () => {
      this.#openedAt.set(socket, this.#options.now());
      socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MS);
      settle({ _tag: 'connected', socket, reused: false });
    });
    return () => {
      settled = true;
      clearTimeout(timer);
      socket.destroy();
    };
  }
}
