import * as net from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Owner } from '../support/Owner.ts';

/** What the clients of a crowd do; each has one connection at a time. */
export interface CrowdScript {
  readonly connections: number;
  /** How often a client comes again after the gateway has closed its connection. */
  readonly returns: number;
  /** What a client writes on each of its connections, piece by piece. */
  readonly pieces: () => Iterable<string | Buffer>;
  /** What it then writes once a second for as long as the connection is open. */
  readonly afterwards?: string;
  /** Whether it never reads what is answered. */
  readonly ignoresAnswers?: boolean;
}

/** Well within the shortest idle timeout that the tests configure. */
const AFTERWARDS_EVERY_MS = 1_000;

/** Clients that write to a gateway and keep their connections open until the gateway closes them. */
export class Crowd {
  readonly #script: CrowdScript;

  readonly #sockets = new Set<net.Socket>();

  /** Those on which all pieces have been written. */
  readonly #written = new Set<net.Socket>();

  readonly #statuses: number[] = [];

  #progress = 0;

  #turnsAfterwards = 0;

  #isOver = false;

  /**
   * Connects the clients, which begin to write at once.
   *
   * @param owner - ends the clients
   * @param address - `IP:PORT` of the gateway
   * @param script - what they do
   */
  constructor(owner: Owner, address: string, script: CrowdScript) {
    this.#script = script;
    const timer = setInterval(() => this.#writeAfterwards(), AFTERWARDS_EVERY_MS);
    owner.after(() => {
      this.#isOver = true;
      clearInterval(timer);
      this.#sockets.forEach((socket) => socket.destroy());
    });
    for (let client = 0; client < script.connections; client += 1) this.#run(address);
  }

  /** Statuses of the answers that were read. */
  get statuses(): readonly number[] {
    return this.#statuses;
  }

  /** How often the clients have been able to go on with what they write afterwards. */
  get turnsAfterwards(): number {
    return this.#turnsAfterwards;
  }

  /** Grows with every connection and every piece that is written. */
  get progress(): number {
    return this.#progress;
  }

  async #run(address: string): Promise<void> {
    for (let visit = 0; visit <= this.#script.returns && !this.#isOver; visit += 1) {
      await this.#visit(address);
    }
  }

  /** Writes on one connection, and resolves when that has closed. */
  async #visit(address: string): Promise<void> {
    const [host, port] = address.split(':');
    const socket = net.connect({ host, port: Number(port), noDelay: true });
    const closed = new Promise<void>((resolve) => {
      socket.once('close', () => resolve());
    });
    this.#sockets.add(socket);
    this.#progress += 1;
    socket.on('error', () => {});
    if (this.#script.ignoresAnswers !== true) {
      socket.on('data', (bytes) => {
        const heads = bytes.toString('latin1').matchAll(/HTTP\/1\.1 (\d{3}) /g);
        this.#statuses.push(...[...heads].map(([, status]) => Number(status)));
      });
    }
    await this.#write(socket, closed);
    this.#written.add(socket);
    await closed;
    this.#written.delete(socket);
    this.#sockets.delete(socket);
  }

  async #write(socket: net.Socket, closed: Promise<void>): Promise<void> {
    for (const piece of this.#script.pieces()) {
      if (socket.destroyed) return;
      if (!socket.write(piece, 'latin1')) {
        const drained = new Promise<void>((resolve) => {
          socket.once('drain', resolve);
        });
        await Promise.race([drained, closed]);
      }
      this.#progress += 1;
      // Clients take turns, and what a client writes arrives in pieces.
      await nextTurn();
    }
  }

  #writeAfterwards(): void {
    const { afterwards } = this.#script;
    this.#turnsAfterwards += 1;
    if (afterwards === undefined) return;
    this.#written.forEach((socket) => {
      if (socket.writable && !socket.writableNeedDrain) socket.write(afterwards, 'latin1');
    });
  }
}
