import type { IncomingMessage, RequestListener, Server } from 'node:http';
import type { Duplex } from 'node:stream';
import { WebSocketServer } from 'ws';
import type { RawData, WebSocket } from 'ws';
import { decodePeerMessage, MAXIMUM_MESSAGE_BYTES } from '../../protocol/peer/peerCodec.ts';
import type { PeerDelivery } from '../../protocol/peer/PeerNetwork.ts';
import { makeHttpServer } from '../http/index.ts';
import {
  CALLER_NONCE_HEADER,
  LISTENER_NONCE_HEADER,
  LISTENER_PROOF_HEADER,
} from './OutgoingLink.ts';
import { isProof, makeNonce, makeProof } from './peerProof.ts';
import type { PeerTraffic } from './PeerTraffic.ts';

/** What a listener is made of. */
export interface PeerListenerOptions {
  readonly secret: string;
  readonly traffic: PeerTraffic;
  readonly onDelivery: (delivery: PeerDelivery) => void;
  /** Takes HTTP requests of peers; without it they are refused. */
  readonly onRequest?: RequestListener | undefined;
}

/** Time for a peer to prove that it knows the secret. */
const PROOF_TIMEOUT_MS = 1_000;
/** Peers close their idle links long before this; a link silent for longer is lost. */
const LOST_AFTER_MS = 120_000;
const MAXIMUM_CONNECTIONS = 4_096;
/** Above the limit for callers, whose requests peers forward with more headers. */
const MAXIMUM_HEADER_BYTES = 131_072;

const refuseRequest: RequestListener = (_request, response) => {
  response.writeHead(426, { connection: 'close' }).end();
};
const NONCE = /^[0-9a-f]{32}$/;

/** Takes in links from peers and decodes what they bring. */
export class PeerListener {
  readonly server: Server;

  readonly #options: PeerListenerOptions;

  readonly #upgrades: WebSocketServer;

  constructor(options: PeerListenerOptions) {
    this.#options = options;
    this.#upgrades = new WebSocketServer({
      noServer: true,
      perMessageDeflate: false,
      maxPayload: MAXIMUM_MESSAGE_BYTES,
    });
    this.server = makeHttpServer(
      { maxHeaderSize: MAXIMUM_HEADER_BYTES, noDelay: true },
      options.onRequest ?? refuseRequest,
    );
    this.server.maxConnections = MAXIMUM_CONNECTIONS;
    this.server.on('upgrade', (request, socket, head) => this.#onUpgrade(request, socket, head));
    this.server.on('clientError', (_error, socket) => socket.destroy());
  }

  /** Closes every link. */
  close(): void {
    this.#upgrades.clients.forEach((link) => link.terminate());
    this.server.closeAllConnections();
  }

  #onUpgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
    const callerNonce = String(request.headers[CALLER_NONCE_HEADER] ?? '');
    if (!NONCE.test(callerNonce)) {
      socket.destroy();
      return;
    }
    const listenerNonce = makeNonce();
    const { secret } = this.#options;
    const addProof = (headers: string[]): void => {
      headers.push(
        `${LISTENER_NONCE_HEADER}: ${listenerNonce}`,
        `${LISTENER_PROOF_HEADER}: ${makeProof(secret, 'listener', callerNonce, listenerNonce)}`,
      );
    };
    this.#upgrades.once('headers', addProof);
    // The header callback runs within this call, so no other upgrade can take it.
    this.#upgrades.handleUpgrade(request, socket, head, (link) =>
      this.#onLink(link, makeProof(secret, 'caller', callerNonce, listenerNonce)),
    );
    // An upgrade that was refused has left it, and would spoil the next one.
    this.#upgrades.removeListener('headers', addProof);
  }

  #onLink(link: WebSocket, expectedProof: string): void {
    let proved = false;
    let timer = setTimeout(() => link.terminate(), PROOF_TIMEOUT_MS);
    link.on('error', () => link.terminate());
    link.on('close', () => clearTimeout(timer));
    link.on('ping', () => this.#options.traffic.countReceived(0));
    link.on('message', (data: RawData) => {
      const bytes = data as Buffer;
      if (proved) {
        timer.refresh();
        this.#deliver(bytes);
        return;
      }
      proved = isProof(expectedProof, bytes.toString('latin1'));
      if (!proved) {
        link.terminate();
        return;
      }
      clearTimeout(timer);
      timer = setTimeout(() => link.terminate(), LOST_AFTER_MS);
    });
  }

  #deliver(bytes: Buffer): void {
    const { traffic, onDelivery } = this.#options;
    traffic.countReceived(bytes.length);
    const envelope = decodePeerMessage(bytes);
    if (!envelope) {
      traffic.countUndecodable();
      return;
    }
    onDelivery({ from: envelope.from, message: envelope.message });
  }
}
