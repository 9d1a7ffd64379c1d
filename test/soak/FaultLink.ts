import * as net from 'node:net';
import type { Owner } from '../support/Owner.ts';
import { Lane, type LinkCondition } from './Lane.ts';
import { resetSocket } from './resetSocket.ts';

const CLEAR: LinkCondition = { _tag: 'clear' };

/** A loopback proxy before one address, which harms the connections through it. */
export class FaultLink {
  readonly #server: net.Server;

  readonly #lanes = new Set<Lane>();

  readonly #sockets = new Set<net.Socket>();

  #condition: LinkCondition = CLEAR;

  private constructor(target: () => string) {
    this.#server = net.createServer((caller) => this.#accept(caller, target()));
  }

  /**
   * Starts a link.
   *
   * @param owner - closes it
   * @param target - gives the `IP:PORT` behind it; asked for each connection
   * @param listenAt - `IP:PORT`, or a free port of the loopback where none is given
   */
  static async start(
    owner: Owner,
    target: () => string,
    listenAt = '127.0.0.1:0',
  ): Promise<FaultLink> {
    const link = new FaultLink(target);
    const [host, port] = listenAt.split(':');
    await new Promise<void>((resolve, reject) => {
      link.#server.once('error', reject);
      link.#server.listen(Number(port), host, resolve);
    });
    owner.after(() => {
      link.#reset();
      link.#server.close();
    });
    return link;
  }

  /** Whether it takes connections; false once its owner has closed it. */
  get isOpen(): boolean {
    return this.#server.listening;
  }

  /** `IP:PORT` to connect to. */
  get address(): string {
    const { address, port } = this.#server.address() as net.AddressInfo;
    return `${address}:${port}`;
  }

  /** Changes what the link does; held bytes go on where the new condition allows it. */
  setCondition(condition: LinkCondition): void {
    this.#condition = condition;
    if (condition._tag === 'reset') this.#reset();
    else this.#lanes.forEach((lane) => lane.flush());
  }

  #accept(caller: net.Socket, target: string): void {
    if (this.#condition._tag === 'reset') {
      resetSocket(caller);
      return;
    }
    const [host, port] = target.split(':');
    const server = net.connect({ host, port: Number(port) });
    const condition = (): LinkCondition => this.#condition;
    const lanes = [
      new Lane('toServer', { from: caller, to: server, condition }),
      new Lane('toCaller', { from: server, to: caller, condition }),
    ];
    lanes.forEach((lane) => this.#lanes.add(lane));
    [caller, server].forEach((socket) => {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      // A close follows, which the lanes pass on.
      socket.on('error', () => {});
      socket.on('close', () => {
        this.#sockets.delete(socket);
        if (caller.destroyed && server.destroyed) lanes.forEach((lane) => this.#lanes.delete(lane));
      });
    });
  }

  #reset(): void {
    this.#sockets.forEach((socket) => resetSocket(socket));
  }
}
