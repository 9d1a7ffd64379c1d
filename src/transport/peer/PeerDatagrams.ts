import { createHmac, timingSafeEqual } from 'node:crypto';
import * as dgram from 'node:dgram';
import type { PeerDelivery } from '../../protocol/peer/PeerNetwork.ts';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import { decodePeerMessage, encodePeerMessage } from '../../protocol/peer/peerCodec.ts';
import type { PeerTraffic } from './PeerTraffic.ts';

/** Most bytes of a datagram, below what networks carry in one packet. */
const MAXIMUM_BYTES = 1_400;
const SEAL_BYTES = 16;
const MAXIMUM_PORT = 65_535;

/** What datagrams between peers are made of. */
export interface PeerDatagramsOptions {
  readonly secret: string;
  /** Sender's incarnation, which may change over time. */
  readonly incarnation: () => string;
  readonly traffic: PeerTraffic;
  readonly onDelivery: (delivery: PeerDelivery) => void;
}

/** Small messages between peers that may get lost, each in one datagram and sealed with the shared secret. */
export class PeerDatagrams {
  readonly #options: PeerDatagramsOptions;

  readonly #socket: dgram.Socket;

  #isBound = false;

  constructor(options: PeerDatagramsOptions) {
    this.#options = options;
    this.#socket = dgram.createSocket({
      type: 'udp4',
      // Peers are known by IP address, which needs no name service.
      lookup: (hostname, _options, callback) => callback(null, hostname, 4),
    });
    this.#socket.on('message', (bytes) => this.#receive(bytes));
  }

  /**
   * Binds the socket.
   *
   * @param host - IP address
   * @param port - port
   * @returns whether datagrams can be received there
   */
  bind(host: string, port: number): Promise<boolean> {
    return new Promise((resolve) => {
      this.#socket.on('error', () => resolve(false));
      this.#socket.bind(port, host, () => {
        this.#isBound = true;
        resolve(true);
      });
    });
  }

  /**
   * Sends a message in one datagram.
   *
   * @param address - the peer's `IP:PORT`
   * @param message - the message
   * @returns false if it is too large, or this process takes no datagrams
   */
  send(address: string, message: PeerMessage): boolean {
    const { incarnation, traffic } = this.#options;
    const bytes = this.#isBound ? encodePeerMessage(incarnation(), message) : undefined;
    if (bytes === undefined || bytes.length + SEAL_BYTES > MAXIMUM_BYTES) return false;
    const separator = address.lastIndexOf(':');
    const port = Number(address.slice(separator + 1));
    // The socket throws for any other number.
    if (!Number.isInteger(port) || port < 1 || port > MAXIMUM_PORT) return false;
    traffic.countSent(bytes.length + SEAL_BYTES);
    this.#socket.send(
      [this.#seal(bytes), bytes],
      port,
      address.slice(0, separator),
      // Whoever needs an answer notices that none comes.
      () => {},
    );
    return true;
  }

  /** Closes the socket. */
  close(): void {
    if (this.#isBound) this.#socket.close();
    this.#isBound = false;
  }

  #seal(bytes: Uint8Array): Buffer {
    const seal = createHmac('sha256', this.#options.secret).update(bytes).digest();
    return seal.subarray(0, SEAL_BYTES);
  }

  #receive(datagram: Buffer): void {
    const { traffic, onDelivery } = this.#options;
    traffic.countReceived(datagram.length);
    const seal = datagram.subarray(0, SEAL_BYTES);
    const bytes = datagram.subarray(SEAL_BYTES);
    const isSealed = seal.length === SEAL_BYTES && timingSafeEqual(seal, this.#seal(bytes));
    const envelope = isSealed ? decodePeerMessage(bytes) : undefined;
    if (envelope === undefined) {
      traffic.countUndecodable();
      return;
    }
    onDelivery({ from: envelope.from, message: envelope.message, isDatagram: true });
  }
}
